"""The streams of an endpoint of the soak, and the flaws that they may have.

Each event names the request's id, its run and its number, so that a reader
can tell pieces of two runs.  A stream that is cut without a length is cut
inside an event: between two events nobody could tell it from an end.
"""

import dataclasses
import enum
import random
import time

START_SHARE = 0.3
"""Of all streams, while a flaw of any stream lasts."""
RESUME_SHARE = 0.5
"""Of the streams that go on, while a flaw of those lasts."""


class Flaw(enum.StrEnum):
    """What is wrong with a stream.

    It is cut inside an event or behind the last one, has a late copy of an
    earlier answer of its connection, whole or cut, beside it, or goes on
    from the first event, two events earlier or two later than it should.
    """

    CLOSED = "closed"
    RESET = "reset"
    BEHIND_LAST = "behind-last"
    COPY = "copy"
    CUT_COPY = "cut-copy"
    ANEW = "anew"
    EARLIER = "earlier"
    LATER = "later"


RESUME_FLAWS = frozenset({Flaw.ANEW, Flaw.EARLIER, Flaw.LATER})
COPIES = frozenset({Flaw.COPY, Flaw.CUT_COPY})
CUTS = frozenset({Flaw.CLOSED, Flaw.RESET})


class Flaws:
    """The flaws that an endpoint's streams may have now."""

    def __init__(self) -> None:
        self._until_s: dict[Flaw, float] = {}
        self.chance = random.Random()

    def add(self, how: str, for_s: float, seed: str) -> None:
        """Let streams have a flaw for a while."""
        self._until_s[Flaw(how)] = time.monotonic() + for_s
        self.chance = random.Random(seed)

    def draw(self, goes_on: bool) -> Flaw | None:
        """Return the flaw of a stream that begins or goes on."""
        now_s = time.monotonic()
        found = [how for how, end_s in self._until_s.items() if now_s < end_s]
        wrong = [how for how in found if how in RESUME_FLAWS]
        others = [how for how in found if how not in RESUME_FLAWS]
        if wrong and goes_on and self.chance.random() < RESUME_SHARE:
            return self.chance.choice(wrong)
        if others and self.chance.random() < START_SHARE:
            return self.chance.choice(others)
        return None


def first_event(last: int, flaw: Flaw | None) -> int:
    """Return the first event of a run after the caller's last one."""
    if flaw is Flaw.ANEW:
        return 1
    if flaw is Flaw.EARLIER:
        return max(1, last - 1)
    return last + 3 if flaw is Flaw.LATER else last + 1


@dataclasses.dataclass
class Stream:
    """A stream under way; ``cut_at`` is the event inside which it is cut."""

    request_id: str
    run: str
    number: int
    total: int
    event_bytes: int
    gap_s: float
    flaw: Flaw | None = None
    cut_at: int = 0

    def next_event(self) -> bytes:
        """Return the next event."""
        names = f"{self.request_id} {self.run} {self.number} "
        filler = names.encode() + b"x" * self.event_bytes
        return b"id: %d\ndata: %s\n\n" % (self.number, filler)
