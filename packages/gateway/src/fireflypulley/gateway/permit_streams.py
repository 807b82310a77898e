"""The way of permit requests over the streams between nodes."""

import collections.abc

from twisted.internet import interfaces

from fireflypulley.core.gateway import duty_claims
from fireflypulley.core.gateway import overlay
from fireflypulley.core.gateway import peer_registry
from fireflypulley.gateway import permit_broker
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages


class PermitStreams(permit_broker.PermitLinks):
    """Finds the issuer, and the streams that lead to it."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        registry: peer_registry.PeerRegistry,
        claims: duty_claims.DutyClaims,
        node_hub: hub.Hub,
        current_overlay: collections.abc.Callable[[], overlay.Overlay],
    ) -> None:
        self._reactor = reactor
        self._peer_registry = registry
        self._claims = claims
        self._hub = node_hub
        self._overlay = current_overlay

    @property
    def node_id(self) -> str:
        return self._peer_registry.this.node_id

    @property
    def issuer(self) -> str | None:
        holder = self._claims.holder
        if holder in self._peer_registry.alive(self._reactor.seconds()):
            return holder
        return None

    def next_hops(self, node_id: str) -> list[str]:
        peers = self._hub.peers_with(permit_broker.FEATURE)
        if node_id in peers:
            return [node_id]
        current = self._overlay()
        relays = [peer for peer in peers if peer in current.relays]
        return relays if current.is_relay else relays[:1]

    def send_one(self, node_id: str, message: messages.Message) -> None:
        self._hub.send_to([node_id], message)
