"""Measures the costs by size that docs/CAPACITY.md is based on."""

import collections.abc
import time
import tracemalloc

from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import node
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.nodes import codec
from fireflypulley.nodes import messages
from fireflystandins.virtual import sites
from fireflystandins.virtual import system

NOW_S = 1_000_000.0
TICKS = 200
REPEATS = 300
NODES = (9, 90, 390)
ENDPOINTS = (9, 240, 2400)
WORKSPACES = (5, 50, 500)
REQUESTS = (100, 400, 1600)


def show(name: str, value: float, unit: str) -> None:
    """Print one slope."""
    print(f"slope {name} {value:.4g} {unit}", flush=True)


def cpu_us(work: collections.abc.Callable[[], object], count: int) -> float:
    """Return the CPU time of a call."""
    began_s = time.process_time()
    for _ in range(count):
        work()
    return (time.process_time() - began_s) / count * 1e6


def memory_kib(work: collections.abc.Callable[[], object]) -> float:
    """Return the memory that the result of a call occupies."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    result = work()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return (after - before) / 1024


def instance_list(nodes: int, endpoints: int) -> events.InstancesListed:
    """Return an instance list with these numbers of entries."""
    return events.InstancesListed(
        tuple(
            topology.Endpoint(
                f"e{n}",
                f"10.0.{n // 250}.{n % 250}:1",
                "model",
                "v1",
                f"d{n % 11}",
                8,
                2,
            )
            for n in range(endpoints)
        ),
        tuple(
            topology.Node(
                f"n{n}", f"10.1.{n // 250}.{n % 250}:1", f"d{n % 11}"
            )
            for n in range(nodes)
        ),
    )


def core(nodes: int, endpoints: int) -> node.Node:
    """Return the core of a node that knows a site of this size."""
    core_node = node.Node(topology.Node("n0", "10.1.0.0:1", "d0"), 1)
    core_node.handle(instance_list(nodes, endpoints), NOW_S)
    for number in range(endpoints):
        fact = facts.Warmth(f"e{number}", 0, True)
        core_node.handle(events.FactsReceived("n1", (fact,)), NOW_S)
    return core_node


def by_size() -> None:
    """Measure ticks, lists and memory by nodes and endpoints."""
    for nodes, endpoints in zip(NODES, ENDPOINTS):
        core_node = core(nodes, endpoints)
        label = f"{nodes}-nodes-{endpoints}-endpoints"
        clock = iter(range(10_000_000))
        show(
            f"tick.{label}",
            cpu_us(
                lambda: core_node.handle(
                    events.Tick(), NOW_S + next(clock) * 0.1
                ),
                TICKS,
            ),
            "us",
        )
        unchanged_list = instance_list(nodes, endpoints)
        show(
            f"list.{label}",
            cpu_us(lambda: core_node.handle(unchanged_list, NOW_S + 100.0), 5),
            "us",
        )
        show(
            f"state.{label}", memory_kib(lambda: core(nodes, endpoints)), "KiB"
        )
        followed = sum(1 for _ in core_node.state.pool)
        show(f"followed.{label}", followed, "endpoints")


def by_configuration() -> None:
    """Measure memory by workspaces, and time and bytes of a change."""
    for count in WORKSPACES:
        entries = tuple(entry(n, 1) for n in range(count))

        def fill(rows: tuple = entries) -> node.Node:
            core_node = core(9, 9)
            core_node.handle(events.EntriesRead(rows, NOW_S), NOW_S)
            return core_node

        empty_kib = memory_kib(lambda: core(9, 9))
        show(f"config.{count}-workspaces", memory_kib(fill) - empty_kib, "KiB")
        core_node = fill()
        versions = iter(range(2, 10_000_000))
        show(
            f"change.{count}-workspaces",
            cpu_us(
                lambda: core_node.handle(
                    events.FactsReceived("n1", (entry(0, next(versions)),)),
                    NOW_S,
                ),
                REPEATS,
            ),
            "us",
        )
    size = len(codec.encode(messages.Facts((entry(0, 1),))))
    show("change.message", size, "bytes")
    heartbeat = len(codec.encode(messages.Heartbeat()))
    show("heartbeat.message", heartbeat, "bytes")
    warmth = messages.Facts((facts.Warmth("e1000", 3, True),))
    show("warmth.message", len(codec.encode(warmth)), "bytes")
    counts = tuple(
        facts.ArmCount("ask", arm, 1000, 10, 10) for arm in facts.Arm
    )
    evidence = facts.Evidence("w1.model@abc", "n100", 7, counts, NOW_S)
    message = messages.Facts((evidence,))
    show("evidence.message", len(codec.encode(message)), "bytes")


def entry(number: int, version: int) -> configuration.Entry:
    """Return a workspace's row."""
    return configuration.Entry(
        configuration.EntryKind.WORKSPACE,
        f"w{number}",
        version,
        "op",
        sites.workspace(),
    )


def by_requests() -> None:
    """Measure the core time of a request by the number of open requests."""
    for count in REQUESTS:
        world = sites.build(sites.DAKAR, 1)
        core_node = world.nodes["n0"].core
        for number in range(count):
            workload = system.workload(f"open{number}", world.time.now_s + 1e6)
            core_node.handle(
                events.RequestArrived(workload.request), world.time.now_s
            )
        numbers = iter(range(10_000_000))

        def run_request(
            core: node.Node = core_node, now_s: float = world.time.now_s
        ):
            name = f"x{next(numbers)}"
            workload = system.workload(
                name,
                now_s + 1e6,
                service="app",
                route="look",
                kind=topology.ServiceKind.PLAIN,
            )
            core.handle(events.RequestArrived(workload.request), now_s)
            attempt_id = f"{name}.n0.1"
            core.handle(events.AttemptSent(name, attempt_id), now_s)
            core.handle(
                events.AttemptEnded(
                    name, attempt_id, requests.Outcome.COMPLETE, 0, None
                ),
                now_s,
            )

        show(f"request.{count}-open", cpu_us(run_request, REPEATS), "us")


def main() -> None:
    """Print all slopes."""
    by_size()
    by_configuration()
    by_requests()


if __name__ == "__main__":
    main()
