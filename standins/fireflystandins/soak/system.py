"""Runs a plan's processes, performs its strikes and collects evidence."""

import collections.abc
import contextlib
import pathlib
import signal
import subprocess
import time
import typing

from fireflystandins import gateways
from fireflystandins import local
from fireflystandins.soak import configuration
from fireflystandins.soak import evidence
from fireflystandins.soak import plan
from fireflystandins.soak import proxy

BOUNDS: dict[str, typing.Any] = {
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 19,
    "drain-ms": 2000,
    "quota-overshoot": 0.1,
    "quota-tolerance": 10,
}
RESTART_S = 0.5
REPLACED_S = 1.0
LEAVE_TIMEOUT_S = 5.0
FAILS_S = 1.0
KIND = "soak-endpoint"


class SoakSystem(gateways.GatewaySystem):
    """The processes of a plan."""

    def __init__(
        self,
        folder: pathlib.Path,
        played: plan.Plan,
        links: proxy.ProxyThread,
    ) -> None:
        super().__init__(folder)
        self._links = links
        self._link_of: dict[str, proxy.Proxy] = {}
        self._path_of: dict[str, proxy.Proxy] = {}
        """The links of all nodes to an endpoint that the plan strikes."""
        self._call_of: dict[str, proxy.Proxy] = {}
        """The links of callers to a node that the plan strikes."""
        self._plan = played
        self._replaced = 0
        self._by_source: dict[str, local.Process] = {}
        """The process that has the place of an endpoint now."""
        self._endpoints: dict[str, local.Process] = {}
        self.evidence = evidence.Evidence(played)
        self._expected_ends: set[int] = set()
        self._settings = configuration.Settings(played.load)

    def start(self) -> None:
        """Start all processes and wait until the nodes know them."""
        self.start_store(self._settings.written)
        self._note_version(time.monotonic())
        for number in range(1, self._plan.endpoints + 1):
            domain = plan.domain(number)
            self._start_endpoint(f"s{number}", "speech", domain)
        for number in range(1, 4):
            domain = plan.domain(number * 2)
            self._start_endpoint(f"r{number}", "registry", domain)
        bounds = BOUNDS | {"grace-s": self._plan.grace_s}
        for number, name in enumerate(plan.node_names(self._plan), start=1):
            link, address = self._links.add(self.store)
            self._link_of[name] = link
            self.start_node(name, plan.domain(number), address, **bounds)
        self.wait_ready()

    def places(self) -> list[tuple[str, str]]:
        """Return the nodes and the addresses at which callers reach them."""
        struck = self._plan.targets(plan.Kind.CALL)
        found = []
        for node in self.nodes:
            address = node.callers
            if node.name in struck:
                self._call_of[node.name], address = self._links.add(address)
            found.append((node.name, address))
        return found

    def _start_endpoint(
        self, name: str, service: str, domain: str, endpoint_id: str = ""
    ) -> None:
        endpoint_id = endpoint_id or name
        path, advertised = None, ""
        if name in self._plan.targets(plan.Kind.PATH):
            path, advertised = self._links.add("")
        process = self._standin(
            KIND,
            endpoint_id,
            *("--replica-id", endpoint_id, "--service", service),
            *("--zone", domain, "--store", self.store, "--slots", "64"),
            *("--advertised", advertised),
        )
        address = process.address
        if path is not None:
            path.target = address
            self._path_of[name] = path
        local.wait_for(endpoint_id, lambda: self.runs(address) is not None)
        self.replicas[endpoint_id] = process
        self._by_source[name] = process
        self._endpoints[endpoint_id] = process

    # Strikes; each is called in a thread of its own.

    def perform(self, strike: plan.Strike) -> None:
        """Perform a strike and return when it has ended.

        One that finds its target ended or starting is left out.
        """
        happening = evidence.Happening(strike, time.monotonic())
        self.evidence.happenings.append(happening)
        if getattr(self, f"_{strike.kind.value}")(strike, happening):
            ended_s = time.monotonic()
            happening.ended_s = min(happening.ended_s, ended_s)
        else:
            self.evidence.happenings.remove(happening)

    def _node(self, name: str) -> gateways.Node:
        return next(node for node in self.nodes if node.name == name)

    def _restart(
        self, node: gateways.Node, happening: evidence.Happening
    ) -> None:
        happening.exit_code = node.popen.wait()
        time.sleep(RESTART_S)
        self.restart_node(node)
        with contextlib.suppress(local.ConditionNotMet):
            local.wait_for(node.name, lambda: self.is_ready(node), 8.0)

    def _stop(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        node = self._node(strike.target)
        if not self._is_up(node) or not self._claim(node):
            return False
        popen = node.popen
        happening.began_s = time.monotonic()
        node.signal(signal.SIGTERM)
        try:
            popen.wait(self._plan.grace_s)
        except subprocess.TimeoutExpired:
            popen.kill()
        self._restart(node, happening)
        return True

    def _kill(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        node = self._node(strike.target)
        if not self._is_up(node) or not self._claim(node):
            return False
        node.popen.kill()
        self._restart(node, happening)
        return True

    def _pause(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        node = self._node(strike.target)
        if not node.alive:
            return False
        node.signal(signal.SIGSTOP)
        time.sleep(strike.for_s)
        node.signal(signal.SIGCONT)
        return True

    def _is_up(self, node: gateways.Node) -> bool:
        """Return whether a node answers; a starting one has no handlers."""
        try:
            return node.alive and self.is_ready(node)
        except OSError:
            return False

    def _claim(self, process: local.Process) -> bool:
        """Return whether a process is not being ended already."""
        is_first = process.popen.pid not in self._expected_ends
        self._expected_ends.add(process.popen.pid)
        return is_first

    def _store(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        self.set_faults(self.store, mode=strike.how, age_s=strike.for_s)
        time.sleep(strike.for_s)
        self.set_faults(self.store, mode="")
        return True

    def _link(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        return self._strike_link(self._link_of[strike.target], strike)

    def _path(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        return self._strike_link(self._path_of[strike.target], strike)

    def _call(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        return self._strike_link(self._call_of[strike.target], strike)

    def _strike_link(self, link: proxy.Proxy, strike: plan.Strike) -> bool:
        self._links.strike(link, strike.how)
        time.sleep(strike.for_s)
        self._links.strike(link, "")
        return True

    def _silence(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        is_done = self._order(strike, "silence", for_s=strike.for_s)
        time.sleep(strike.for_s)
        return is_done

    def _fail(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        self._order(strike, "faults", mode=strike.how, times=strike.times)
        time.sleep(FAILS_S)
        self._order(strike, "faults", mode="", times=0)
        return True

    def _leave(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        process = self._by_source[strike.target]
        if not process.alive or not self._claim(process):
            return False
        order = {"serve_s": strike.for_s, "how": strike.how}
        self._order(strike, "leave", **order)
        try:
            process.popen.wait(strike.for_s + LEAVE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.evidence.exits[process.name] = time.monotonic()
            process.kill()
        del self.replicas[process.name]
        time.sleep(REPLACED_S)
        self._replaced += 1
        domain = plan.domain(int(strike.target[1:]))
        name = f"{strike.target}n{self._replaced}"
        self._start_endpoint(strike.target, "speech", domain, name)
        return True

    def _drop(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        order = {"for_s": strike.for_s, "how": strike.how}
        is_done = self._order(strike, "drop", **order)
        time.sleep(strike.for_s)
        return is_done

    def _flaw(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        seed = f"{self._plan.seed} {strike.target} {strike.how}"
        order = {"for_s": strike.for_s, "how": strike.how, "seed": seed}
        is_done = self._order(strike, "flaw", **order)
        time.sleep(strike.for_s)
        return is_done

    def _config(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        with self._settings.without(strike.target, self._write):
            time.sleep(strike.for_s)
        return True

    def _write(self, config: typing.Any) -> None:
        began_s = time.monotonic()
        self.put("op", "config", config)
        self._note_version(began_s)

    def _note_version(self, began_s: float) -> None:
        version = evidence.Version(
            self._settings.number,
            began_s,
            time.monotonic(),
            self._settings.routes,
            self._settings.has_key,
        )
        self.evidence.versions.append(version)

    def _limit(
        self, strike: plan.Strike, happening: evidence.Happening
    ) -> bool:
        is_named = self._order(strike, "limit", value=str(strike.times))
        time.sleep(strike.for_s)
        happening.ended_s = time.monotonic()
        self._order(strike, "limit", value=None)
        return is_named

    def _order(
        self, strike: plan.Strike, path: str, **fields: typing.Any
    ) -> bool:
        """Tell an endpoint what to do; return whether it was told."""
        process = self._by_source[strike.target]
        if not process.alive:
            return False
        try:
            local.http("POST", f"http://{process.address}/{path}", fields)
        except OSError:
            return False
        return True

    # Evidence

    def sample(self) -> None:
        """Note the memory and the descriptors of all nodes, and own ends."""
        now_s = time.monotonic()
        for node in self.nodes:
            pid = node.popen.pid
            code = node.popen.poll()
            if code is not None and pid not in self._expected_ends:
                self._expected_ends.add(pid)
                self.evidence.own_ends.append((node.name, now_s, code))
            with contextlib.suppress(OSError):
                self._sample_process(f"{node.name}/{pid}", pid, now_s)

    def _sample_process(self, key: str, pid: int, now_s: float) -> None:
        process = pathlib.Path("/proc") / str(pid)
        pages = int((process / "statm").read_text().split()[1])
        descriptors = sum(1 for _ in (process / "fd").iterdir())
        row = (now_s, pages * 4096, descriptors)
        self.evidence.samples.setdefault(key, []).append(row)

    def collect_runs(self) -> None:
        """Read what the endpoints wrote of their runs."""
        for name, process in self._endpoints.items():
            self.evidence.read_endpoint(name, process.log)

    def collect_duties(self) -> None:
        """Read which calls of duties the cloud has got."""
        offset_s = time.time() - time.monotonic()
        for duty, calls in self.duty_calls().items():
            self.evidence.read_duty(duty, calls, offset_s)


@contextlib.contextmanager
def running(
    folder: pathlib.Path, played: plan.Plan
) -> collections.abc.Generator[SoakSystem, None, None]:
    """Yield a started system whose processes are killed at the end."""
    with proxy.ProxyThread().running() as links:
        system = SoakSystem(folder, played, links)
        try:
            system.start()
            yield system
        finally:
            system.stop()
