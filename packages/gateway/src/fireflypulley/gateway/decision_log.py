"""Structured, non-blocking logging to standard output.

Lines are dropped and counted while the reader of the log is too slow.
Each kind of line is rate-limited, so that load can't flood the log, and
each result by itself, so that no failure gives way to successes.
"""

import collections
import json
import os
import typing

import eliot
from twisted.internet import interfaces

MAX_LINES_PER_S_BY_KIND = 60
"""Of each result, if lines of the kind tell one."""
RESULT_FIELDS = ("result", "outcome")
MAX_UNWRITTEN_BYTES = 1 << 18
_Message = dict[str, typing.Any]


def _share(message: _Message) -> str:
    """Return the kind of a message, with its result if it tells one."""
    kind = str(message.get("message_type", "other"))
    for field in RESULT_FIELDS:
        if field in message:
            return f"{kind}/{message[field]}"
    return kind


class DecisionLog:
    """An eliot destination that writes to a file descriptor."""

    def __init__(
        self, reactor: interfaces.IReactorTime, descriptor: int
    ) -> None:
        self._reactor = reactor
        self._descriptor = descriptor
        self._unwritten = b""
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[str] = collections.Counter()
        os.set_blocking(descriptor, False)

    def __call__(self, message: _Message) -> None:
        """Write a message of eliot, or count it as dropped."""
        share = _share(message)
        second = int(self._reactor.seconds())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._report_dropped()
        self._counts[share] += 1
        if self._counts[share] > MAX_LINES_PER_S_BY_KIND:
            self._dropped[share] += 1
            return
        if not self._write_line(message):
            self._dropped[share] += 1

    def _report_dropped(self) -> None:
        if not self._dropped:
            return
        report = {"message_type": "log:dropped", "lines": dict(self._dropped)}
        if self._write_line(report):
            self._dropped.clear()

    def _write_line(self, message: _Message) -> bool:
        """Queue and write a line; return False if the queue is full."""
        for unwanted in ("task_uuid", "task_level"):
            message.pop(unwanted, None)
        line = json.dumps(message, default=repr, separators=(",", ":"))
        data = self._unwritten + line.encode() + b"\n"
        has_room = len(data) <= MAX_UNWRITTEN_BYTES
        if has_room:
            self._unwritten = data
        self._flush()
        return has_room

    def _flush(self) -> None:
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so this can't be logged either.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]


def note(kind: str, **fields: typing.Any) -> None:
    """Log a line of the given kind."""
    eliot.log_message(message_type=kind, **fields)


def open_log(
    reactor: interfaces.IReactorTime, node_id: str, descriptor: int = 1
) -> DecisionLog:
    """Send eliot's messages to a descriptor, by default standard output."""
    eliot.add_global_fields(node=node_id)
    log = DecisionLog(reactor, descriptor)
    eliot.add_destinations(log)
    return log
