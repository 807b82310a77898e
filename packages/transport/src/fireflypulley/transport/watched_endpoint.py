"""Client connections on which one side may be silent for long."""

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from zope import interface

from fireflypulley.transport import sockets


@interface.implementer(interfaces.IStreamClientEndpoint)
class WatchedEndpoint:
    """Closes its connections ``SILENCE_DETECTED_S`` after they go silent.

    Without probes, a long poll can't be told from one whose answer is
    never going to arrive.
    """

    def __init__(self, endpoint: interfaces.IStreamClientEndpoint) -> None:
        self._endpoint = endpoint

    def connect(
        self, factory: interfaces.IProtocolFactory
    ) -> defer.Deferred[protocol.Protocol]:
        """Connect, and set the options of the socket."""
        connecting = self._endpoint.connect(factory)
        return connecting.addCallback(_set_options)


def _set_options(connected: protocol.Protocol) -> protocol.Protocol:
    sockets.set_watch_options(connected.transport)
    return connected
