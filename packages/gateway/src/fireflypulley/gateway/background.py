"""Background work and periodic calls whose failures are logged."""

import collections.abc
import traceback
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from fireflypulley.gateway import decision_log

RESTART_DELAY_S = 0.5

_T = typing.TypeVar("_T")
_Work = collections.abc.Coroutine[typing.Any, typing.Any, _T]


def start(
    work: _Work[None],
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


async def restart_on_error(
    reactor: interfaces.IReactorTime,
    create_work: collections.abc.Callable[[], _Work[_T]],
    **fields: typing.Any,
) -> _T:
    """Run work again after each error, with a pause; return its result.

    Each error is logged with the given ``fields``.
    """
    while True:
        try:
            return await create_work()
        except Exception:
            _log_error(fields)
        await task.deferLater(reactor, RESTART_DELAY_S)


def guard(
    call: collections.abc.Callable[[], None], **fields: typing.Any
) -> collections.abc.Callable[[], None]:
    """Return a call that logs an error instead of raising it.

    A loop of such calls goes on after an error, and so does what follows
    one of them.
    """

    def guarded() -> None:
        try:
            call()
        except Exception:
            _log_error(fields)

    return guarded


def _log_error(fields: dict[str, typing.Any]) -> None:
    decision_log.note("error", problem=traceback.format_exc(), **fields)
