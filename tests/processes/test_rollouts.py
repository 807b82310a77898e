"""Rollouts and poison requests through real processes."""

import json
import threading
import time

import pytest

from fireflypulley.core import poison
from fireflystandins import local

pytestmark = pytest.mark.processes

CALLERS = 4
ROLLOUT_WITHIN_S = 24
CRASHES = poison.CRASHES_TO_QUARANTINE
PROCESS_END_TIMEOUT_S = 1.0


class Traffic:
    """Callers that send requests one after the other until stopped."""

    def __init__(self, system: local.LocalSystem) -> None:
        self._system = system
        self._stopped = threading.Event()
        self.statuses: list[int] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(CALLERS)
        ]

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        daemons = self._system.daemons
        while not self._stopped.is_set():
            number += 1
            daemon = daemons[number % len(daemons)]
            status, _ = send_prompt(self._system, daemon, f"question {number}")
            self.statuses.append(status)


def send_prompt(system, daemon, prompt: str) -> tuple[int, dict]:
    body = {
        "model": "shorthand",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": prompt}],
    }
    path = "/v1/chat/completions"
    status, answer, _ = system.call(daemon, "POST", path, body)
    return status, json.loads(answer)


def start_new_version(system) -> None:
    for number, domain in enumerate(("dakar-a", "dakar-b"), start=1):
        system.start_endpoint(
            local.EndpointSpec(
                f"new-{number}", "engine", "shorthand", "v2", domain
            )
        )
    system.publish()


def start_rollout(system) -> None:
    code, printed = system.cli(
        "rollout",
        "start",
        "court-dakar",
        "shorthand",
        "--to",
        "v2",
        "--within-s",
        str(ROLLOUT_WITHIN_S),
    )
    assert code == 0, printed


def watch_rollout(system) -> tuple[int, str]:
    return system.cli(
        "rollout", "watch", "court-dakar", "shorthand", "--timeout-s", "60"
    )


def tokens(system, endpoint_id: str) -> int:
    address = system.endpoints[endpoint_id].address
    url = f"http://{address}/load"
    return json.loads(local.http("GET", url)[1])["tokens_total"]


def test_good_version_is_rolled_out_in_time(system):
    start_new_version(system)
    with Traffic(system) as traffic:
        start_rollout(system)
        code, printed = watch_rollout(system)
    assert code == 0, printed
    assert "done" in printed
    assert set(traffic.statuses) == {200}
    before = tokens(system, "shorthand-1") + tokens(system, "shorthand-2")
    for daemon in system.daemons:
        assert send_prompt(system, daemon, "after")[0] == 200
    after = tokens(system, "shorthand-1") + tokens(system, "shorthand-2")
    assert after == before


def test_bad_version_is_undone_and_no_caller_sees_it(system):
    start_new_version(system)
    for name in ("new-1", "new-2"):
        system.set_faults(system.endpoints[name].address, fail_all=True)
    with Traffic(system) as traffic:
        start_rollout(system)
        code, printed = watch_rollout(system)
    assert code == 3, printed
    assert "failures on route ask" in printed
    assert set(traffic.statuses) == {200}


def test_poison_request_is_quarantined_on_all_nodes(system):
    for process in system.endpoints.values():
        if process.name.startswith("shorthand"):
            system.set_faults(process.address, crash_on="poison")
    start_extra_endpoints(system)
    status, body = send_prompt(system, system.daemons[0], "poison")
    assert (status, body["reason"]) == (422, "quarantined")
    # A process closes its connections some ms before its end is visible.
    local.wait_for(
        "ended endpoints",
        lambda: len(dead_endpoints(system)) >= CRASHES,
        PROCESS_END_TIMEOUT_S,
    )
    dead_before = dead_endpoints(system)
    assert len(dead_before) == CRASHES

    def refused_at_once() -> bool:
        answers = [send_prompt(system, d, "poison") for d in system.daemons]
        return all(b.get("reason") == "quarantined" for _, b in answers)

    local.wait_for("quarantined on all nodes", refused_at_once, 10)
    time.sleep(PROCESS_END_TIMEOUT_S)
    assert dead_endpoints(system) == dead_before


def dead_endpoints(system) -> list[str]:
    processes = system.endpoints.values()
    return [process.name for process in processes if not process.alive]


def start_extra_endpoints(system) -> None:
    for number in range(3, 8):
        process = system.start_endpoint(
            local.EndpointSpec(
                f"shorthand-{number}", "engine", "shorthand", "v1", "dakar-c"
            )
        )
        system.set_faults(process.address, crash_on="poison")
    system.publish()

    def listed() -> bool:
        code, printed = system.cli("endpoint", "list", "--json")
        return code == 0 and "shorthand-7" in printed

    local.wait_for("the new endpoints are listed", listed)
