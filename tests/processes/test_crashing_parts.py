"""Requests with a prompt part that crashes endpoints, with real nodes."""

import concurrent.futures
import contextlib
import dataclasses
import http.client
import itertools
import json
import random
import time

import pytest

from fireflystandins import gateways
from fireflystandins import local

pytestmark = pytest.mark.processes

FREE_CRASHES = 5
CONTACT_S = 3.0
MAX_LATE = 3
"""The bound of the rule: so many requests with the part may reach endpoints
later than ``CONTACT_S`` after the fifth crash."""
MIN_SHARE_SERVED = 0.5
"""The bound of the rule for sound requests that share the caller or parts,
against the time before."""
PLAY_S = 14.0
SOUND_CALLERS = 6
SUBJECTS = 8
_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got, and when it had asked."""

    began_s: float
    status: int
    retry_after: str | None
    took_s: float


class Callers:
    """Callers of sound requests, and some of requests with deadly parts.

    No two requests are alike.  All have the first part, and those with a
    deadly part share the other one with sound requests.
    """

    def __init__(self, nodes, seed, deadly_parts):
        self._nodes = nodes
        self._seed = seed
        self._deadly_parts = deadly_parts
        self.is_stopped = False
        self.sound = []
        self.deadly = []

    def call(self, chance, parts, key="key-court"):
        """Send a request with the given shared parts; return its answer."""
        number = next(_numbers)
        own = f"ffff{number:08x}"
        prefix = ",".join(f"{part}:50" for part in [*parts, own])
        headers = gateways.caller_headers(f"c{number}", key, 3000)
        headers |= {"Prompt-Prefix": prefix, "Token-Count": "150,20"}
        node = chance.choice(self._nodes)
        connection = http.client.HTTPConnection(node.callers, timeout=5)
        began_s = time.monotonic()
        try:
            connection.request("POST", "/stream/x", b"3", headers)
            reply = connection.getresponse()
            reply.read()
            status = reply.status
            retry_after = reply.getheader("Retry-After")
        except (OSError, http.client.HTTPException):
            status, retry_after = 0, None
        finally:
            connection.close()
        took_s = time.monotonic() - began_s
        return Answer(began_s, status, retry_after, took_s)

    def _call_sound(self, number):
        chance = random.Random(f"{self._seed}/sound/{number}")
        while not self.is_stopped:
            parts = ["aa", f"b{chance.randrange(SUBJECTS)}"]
            self.sound.append(self.call(chance, parts))
            time.sleep(chance.uniform(0.0, 0.1))

    def _call_deadly(self, deadly_part):
        chance = random.Random(f"{self._seed}/{deadly_part}")
        while not self.is_stopped:
            time.sleep(chance.uniform(0.1, 0.5))
            parts = ["aa", "b0", deadly_part]
            self.deadly.append(self.call(chance, parts))

    @contextlib.contextmanager
    def calling(self):
        """Send requests during the block."""
        count = SOUND_CALLERS + len(self._deadly_parts)
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            running = [
                pool.submit(self._call_sound, one)
                for one in range(SOUND_CALLERS)
            ]
            running += [
                pool.submit(self._call_deadly, part)
                for part in self._deadly_parts
            ]
            try:
                yield self
            finally:
                self.is_stopped = True
        for one in running:
            one.result()


@contextlib.contextmanager
def _running(folder, nodes, endpoints, deadly_part):
    """Yield a system whose endpoints crash on a part."""
    with gateways.running(folder) as system:
        system.start_store()
        for number in range(1, endpoints + 1):
            name = f"e{number}"
            process = system.start_replica(name, "speech", "ab"[number % 2])
            url = f"http://{process.address}/deadly"
            local.http("POST", url, {"part": deadly_part})
        for number in range(1, nodes + 1):
            system.start_node(f"node-{number}", "ab"[number % 2])
        system.wait_ready()
        yield system


def _crashes(system):
    """Return the times at which endpoints crashed, in order."""
    times = []
    for process in system.replicas.values():
        url = f"http://{process.address}/crashes"
        _, body, _ = local.http("GET", url)
        times += json.loads(body)
    return sorted(times)


def _arrivals(system, part):
    """Return the times at which requests with a part reached endpoints."""
    return sorted(
        run["began_s"]
        for run in system.all_runs()
        if f"{part}:" in run["prefix"]
    )


def _late(system, part):
    """Return how many requests with a part came after the bound."""
    crashes = _crashes(system)
    if len(crashes) < FREE_CRASHES:
        return 0
    binds_s = crashes[FREE_CRASHES - 1] + CONTACT_S
    return sum(one > binds_s for one in _arrivals(system, part))


def _share_served(answers):
    return sum(one.status == 200 for one in answers) / len(answers)


# Guards against requests with one part that crash endpoint after endpoint.
@pytest.mark.parametrize(("nodes", "seed"), [(3, 1), (6, 2)])
def test_requests_with_a_deadly_part_stop_after_a_few_crashes(
    tmp_path, nodes, seed
):
    with _running(tmp_path, nodes, 4, "dead") as system:
        callers = Callers(system.nodes, seed, ["dead"])
        with callers.calling():
            time.sleep(PLAY_S)
        time.sleep(1.0)
        late = _late(system, "dead")
        crashes = _crashes(system)
    settled_s = crashes[:FREE_CRASHES][-1] + 2 * CONTACT_S
    sound = [one for one in callers.sound if one.began_s > settled_s]
    assert late <= MAX_LATE
    assert len(sound) > 20
    assert _share_served(sound) >= MIN_SHARE_SERVED
