"""Rollouts of good and bad versions: duration, verdict and cost."""

import random

from fireflypulley.core import configuration
from fireflypulley.core import facts
from fireflypulley.core import rollouts
from fireflystandins.bench import figures
from fireflystandins.bench import traffic
from fireflystandins.virtual import endpoint
from fireflystandins.virtual import sites
from fireflystandins.virtual import system

Figure = figures.Figure
WITHIN_S = 120.0
WORKSPACE = "w1"
FALSE_ALARM_RUNS = 1000
FALSE_ALARM_RESPONSES = 2000
ERROR_RATES = (0.0, 0.01, 0.05)
PROPAGATION_S = 2.0


def _build_world(seed: int, behaviour: endpoint.Behaviour) -> system.System:
    world = sites.build(sites.BELGIUM, seed)
    for number in range(5):
        domain = f"d{number % sites.BELGIUM.domains}"
        name = f"v{number}"
        sites.add_model(world, name, domain, "v2", behaviour)
    world.settle(3.0)
    return world


def _run_rollout(
    world: system.System, load: float, duration_s: float = WITHIN_S + 10.0
) -> configuration.Rollout:
    callers = traffic.Callers(world, duration_s)
    rate = load * traffic.capacity_per_s(world)
    for route in ("ask", "sum"):
        callers.add(
            traffic.RequestStream(rate / 2, workspace=WORKSPACE, route=route)
        )
    world.change(
        lambda plan: plan.start_rollout(WORKSPACE, "model", "v2", WITHIN_S)
    )
    world.time.run_for(duration_s + 30.0)
    entry = world.store.entries[("rollout", f"{WORKSPACE}.model")]
    assert isinstance(entry.body, configuration.Rollout)
    return entry.body


BAD = {
    "fails": endpoint.Behaviour(fail_rate=1.0),
    "fails-in-part": endpoint.Behaviour(fail_rate=0.3),
    "slow": endpoint.Behaviour(slow_factor=8.0),
    "one-route": endpoint.Behaviour(fail_rate=1.0, route="sum"),
    "under-load": endpoint.Behaviour(fail_rate=1.0, bad_above_load=0.2),
}


def good(seed: int) -> list[Figure]:
    """Measure whether rollouts of good versions finish in time."""
    measured = []
    for load in (0.1, 0.4):
        world = _build_world(seed, endpoint.Behaviour())
        rollout = _run_rollout(world, load)
        done = rollout.state is configuration.RolloutState.DONE
        took_s = rollout.step_since_s - rollout.started_s
        label = f"rollout.good.{load:.0%}"
        measured += [
            Figure(f"{label}.done", float(done), "share", ">=1"),
            Figure(f"{label}.took", took_s, "s", f"<={WITHIN_S}"),
        ]
    return measured


def bad(seed: int) -> list[Figure]:
    """Measure how rollouts of bad versions are undone."""
    measured = []
    for name, behaviour in BAD.items():
        measured += _bad_version(name, behaviour, seed)
    turns_bad = _build_world(seed, endpoint.Behaviour())
    began_s = turns_bad.time.now_s
    for virtual_endpoint in turns_bad.endpoints.values():
        if virtual_endpoint.spec.version == "v2":
            virtual_endpoint.behaviour = endpoint.Behaviour(
                fail_rate=1.0, bad_after_s=began_s + 40.0
            )
    measured += _figures("late", turns_bad, _run_rollout(turns_bad, 0.4))
    return measured


def _bad_version(
    name: str, behaviour: endpoint.Behaviour, seed: int
) -> list[Figure]:
    world = _build_world(seed, behaviour)
    return _figures(name, world, _run_rollout(world, 0.4))


def _figures(
    name: str, world: system.System, rollout: configuration.Rollout
) -> list[Figure]:
    undone = rollout.state is configuration.RolloutState.UNDONE
    verdict_s = rollout.step_since_s
    arrivals = [
        (at_s, request_id)
        for e in world.endpoints.values()
        if e.spec.version == "v2"
        for at_s, request_id, _ in e.arrivals
    ]
    touched = len({request_id for _, request_id in arrivals})
    sent = len(world.results)
    after = sum(1 for at_s, _ in arrivals if at_s > verdict_s + PROPAGATION_S)
    lost = sum(1 for r in world.results.values() if not r.answered)
    label = f"rollout.bad.{name}"
    early = name not in ("late", "under-load")
    return [
        Figure(f"{label}.undone", float(undone), "share", ">=1"),
        Figure(f"{label}.verdict", verdict_s - rollout.started_s, "s"),
        Figure(
            f"{label}.touched",
            touched / sent,
            "of requests",
            "<=0.05" if early else "",
        ),
        Figure(f"{label}.after_verdict", after, "requests", "<=0"),
        Figure(f"{label}.unanswered", lost, "requests", "<=0"),
    ]


def false_alarms(seed: int) -> list[Figure]:
    """Measure false alarms when both versions have the same errors."""
    measured = []
    for rate in ERROR_RATES:
        rng = random.Random(seed)
        count = sum(
            _raises_false_alarm(rng, rate) for _ in range(FALSE_ALARM_RUNS)
        )
        label = f"rollout.false_alarms.{rate:.0%}"
        share = count / FALSE_ALARM_RUNS
        measured.append(Figure(label, share, "of rollouts", "<=0.001"))
    return measured


def _raises_false_alarm(rng: random.Random, rate: float) -> bool:
    """Return whether a good version is judged bad."""
    config = configuration.Configuration()
    body = configuration.Rollout(
        "r",
        "w",
        "m",
        "v1",
        "v2",
        0.0,
        1e9,
        0,
        0.0,
        configuration.RolloutState.RUNNING,
    )
    config.merge(
        configuration.Entry(
            configuration.EntryKind.ROLLOUT, "w.m", 1, "op", body
        )
    )
    evaluator = rollouts.Rollouts("n", config, facts.SharedState())
    for number in range(FALSE_ALARM_RESPONSES):
        share = 0.05 if number < FALSE_ALARM_RESPONSES / 2 else 0.5
        arm = facts.Arm.NEW if rng.random() < share else facts.Arm.OLD
        failed = rng.random() < rate
        slow = rng.random() < rate
        evaluator.observe("w", "m", "ask", arm, failed, slow)
        if arm is facts.Arm.NEW and evaluator.finding(body).bad:
            return True
    return False
