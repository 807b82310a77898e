"""Passes Twisted's warnings and errors on to the decision log.

An unexpected error in the callback of a protocol or timer gets no further
than Twisted's own log.
"""

import typing

from twisted import logger

from fireflypulley.gateway import decision_log

_LEVELS = frozenset(
    {
        logger.LogLevel.warn,
        logger.LogLevel.error,
        logger.LogLevel.critical,
    }
)


def forward(publisher: logger.LogPublisher | None = None) -> None:
    """Log Twisted's warnings and errors as lines of kind "error".

    By default from its global log, those so far included.
    """
    if publisher is not None:
        publisher.addObserver(_observe)
        return
    logger.globalLogBeginner.beginLoggingTo(
        [_observe], redirectStandardIO=False
    )


def _observe(event: dict[str, typing.Any]) -> None:
    if event.get("log_level") not in _LEVELS:
        return
    decision_log.note(
        "error",
        source=event.get("log_namespace", ""),
        problem=logger.eventAsText(
            event, includeTimestamp=False, includeSystem=False
        ),
    )
