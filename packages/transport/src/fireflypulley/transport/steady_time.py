"""The time that decisions and timers go by.

It starts as the time of day, since nodes tell each other until when a fact
holds.  From then on it goes steadily: setting the system's clock does not
move it, and it counts the time for which the machine was suspended.
"""

import collections.abc
import time
import typing


def boottime_s() -> float:
    """Return a monotonic time that includes time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def create(
    time_of_day_s: collections.abc.Callable[[], float] = time.time,
) -> collections.abc.Callable[[], float]:
    """Return a clock that starts at the time of day."""
    offset_s = time_of_day_s() - boottime_s()
    return lambda: boottime_s() + offset_s


def install(reactor: typing.Any) -> None:
    """Let a reactor and its timers go by the steady time.

    Twisted's reactors go by the time of day, as ``reactor.seconds()`` tells.
    """
    reactor.seconds = create(reactor.seconds)
