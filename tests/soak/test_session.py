"""All strikes of a plan come at their moments, however many last."""

import asyncio
import socket
import threading
import time

from fireflystandins.soak import evidence
from fireflystandins.soak import plan
from fireflystandins.soak import session

COUNT = 60
LASTS_S = 1.0


class _Running:
    """Processes that are struck until the end, and what was seen."""

    def __init__(self, address, played):
        self.evidence = evidence.Evidence(played)
        self.samples = 0
        self.began_s = []
        self.over = threading.Event()
        self._address = address

    def places(self):
        return [("node1", self._address)]

    def sample(self):
        self.samples += 1

    def perform(self, strike):
        self.began_s.append(time.monotonic())
        if strike.at_s < LASTS_S / 2:
            self.over.wait(5 * LASTS_S)
        else:
            self.over.set()


# Guards against strikes that wait for others to end, and samples with them.
def test_strikes_and_samples_do_not_wait_for_strikes_that_last():
    flaws = [plan.Strike(0.0, plan.Kind.FLAW, "s1") for _ in range(COUNT)]
    stop = plan.Strike(LASTS_S / 2, plan.Kind.STOP, "node1")
    load = plan.Load(callers=1)
    played = plan.Plan(1, 1, 1, LASTS_S, load, (*flaws, stop))
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
        running = _Running(address, played)
        began_s = time.monotonic()
        asyncio.run(session.play(running))
    assert len(running.began_s) == COUNT + 1
    assert max(running.began_s) - began_s < 2 * LASTS_S
    assert running.samples > 0
