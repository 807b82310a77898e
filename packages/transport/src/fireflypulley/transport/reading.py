"""Resumes the reading of connections between batches of events.

Twisted's poll reactors take a hang-up without input for a close in order if
the connection is registered for reading when the event is handled.  One
that was reset while it was paused, and is resumed by an earlier event of
the same batch, would pass for complete.
"""

import collections.abc
import typing

from twisted.internet import interfaces
from zope import interface


class CallLater(typing.Protocol):
    """A reactor's ``callLater``."""

    def __call__(
        self, delay_s: float, call: collections.abc.Callable[[], None], /
    ) -> interfaces.IDelayedCall:
        """Schedule a call."""


@interface.implementer(interfaces.IPushProducer)
class LaterReading:
    """Pauses a transport at once and resumes it in a later turn."""

    def __init__(
        self, transport: interfaces.IPushProducer, call_later: CallLater
    ) -> None:
        self._transport = transport
        self._call_later = call_later
        self._resumption: interfaces.IDelayedCall | None = None
        self._is_closed = False

    def pauseProducing(self) -> None:
        """Stop reading; a resumption that is due is cancelled."""
        self._cancel()
        if not self._is_closed:
            self._transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Continue to read in a later turn of the reactor."""
        if self._resumption is None and not self._is_closed:
            self._resumption = self._call_later(0.0, self._resume)

    def stopProducing(self) -> None:
        """Stop the transport, as its consumer has been lost."""
        if not self._is_closed:
            self.close()
            self._transport.stopProducing()

    def close(self) -> None:
        """Leave the transport alone from now on."""
        self._is_closed = True
        self._cancel()

    def _resume(self) -> None:
        self._resumption = None
        self._transport.resumeProducing()

    def _cancel(self) -> None:
        resumption, self._resumption = self._resumption, None
        if resumption is not None:
            resumption.cancel()
