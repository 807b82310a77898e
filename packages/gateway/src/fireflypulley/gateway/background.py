"""Background work whose failures are logged."""

import collections.abc
import typing

from twisted.internet import defer

from fireflypulley.gateway import decision_log


def start(
    work: collections.abc.Coroutine[typing.Any, typing.Any, None],
    done: collections.abc.Callable[[], None] | None = None,
    **fields: typing.Any,
) -> None:
    """Start work; a failure is logged with the given ``fields``.

    ``done`` is called when the work has ended, also after a failure.
    """

    def log_failure(reason: object) -> None:
        decision_log.note("error", problem=str(reason), **fields)

    deferred = defer.ensureDeferred(work)
    deferred.addErrback(log_failure)
    if done is not None:
        deferred.addBoth(lambda _: done())
