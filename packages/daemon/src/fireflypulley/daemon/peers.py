"""Connects node streams with the core, the key directory and fetches."""

import collections.abc
import typing

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.daemon import driver
from fireflypulley.daemon import fetches
from fireflypulley.daemon import key_directory
from fireflypulley.daemon import registry
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

_Handler = collections.abc.Callable[[str, typing.Any], None]


class PeerDispatcher(hub.HubListener):
    """Dispatches messages of other nodes to their handlers."""

    def __init__(self, loop: driver.Driver) -> None:
        self._loop = loop
        self._streams: hub.Hub | None = None
        self._handlers: dict[type[messages.Message], _Handler] = {
            messages.Facts: self._facts,
            messages.SlotAsk: self._slot_ask,
            messages.SlotAnswer: self._slot_answer,
            messages.SlotReturn: self._slot_return,
        }
        self._fetches: fetches.Fetches | None = None

    def connect(
        self,
        streams: hub.Hub,
        directory: key_directory.KeyDirectory,
        answer_fetches: fetches.Fetches,
        task_registry: registry.Registry,
    ) -> None:
        """Set the components that handle messages and actions."""
        self._streams = streams
        self._fetches = answer_fetches
        self._handlers |= {
            messages.KeyHeld: lambda _, m: directory.record_holder(
                m.key, m.node_id
            ),
            messages.KeyQuestion: directory.receive_question,
            messages.KeyAnswer: lambda _, m: directory.receive_answer(m),
            messages.FetchAsk: lambda node_id, m: answer_fetches.serve(
                node_id, m, task_registry.by_key(m.key)
            ),
            messages.FetchData: answer_fetches.receive_data,
            messages.FetchEnd: answer_fetches.receive_end,
        }
        self._register_actions(streams)

    def _register_actions(self, streams: hub.Hub) -> None:
        """Register the actions that send messages to other nodes."""
        loop = self._loop
        loop.set_handler(
            actions.Spread,
            lambda a: streams.broadcast(
                messages.Facts(a.facts), a.except_node
            ),
        )
        loop.set_handler(
            actions.Tell,
            lambda a: streams.send(a.to_node, messages.Facts(a.facts)),
        )
        loop.set_handler(
            actions.ConnectPeers,
            lambda a: streams.set_wanted_peers(a.node_ids),
        )
        loop.set_handler(
            actions.DropPeer, lambda a: streams.drop_peer(a.node_id)
        )
        loop.set_handler(
            actions.AskSlot,
            lambda a: streams.send(
                a.owner_node,
                messages.SlotAsk(a.endpoint_id, a.hold_s, a.patient),
            ),
        )
        loop.set_handler(
            actions.GrantSlot,
            lambda a: streams.send(
                a.to_node,
                messages.SlotAnswer(a.endpoint_id, a.granted, a.expires_s),
            ),
        )
        loop.set_handler(
            actions.ReturnSlot,
            lambda a: streams.send(
                a.owner_node,
                messages.SlotReturn(
                    a.endpoint_id, a.expires_s, a.answered_well
                ),
            ),
        )

    def add_handler(
        self, kind: type[messages.Message], handler: _Handler
    ) -> None:
        """Set the function that handles a kind of message."""
        self._handlers[kind] = handler

    def peer_up(self, node_id: str, incarnation: int) -> None:
        self._loop.feed(events.PeerConnected(node_id, incarnation))
        facts = self._loop.core.state.shared.snapshot()
        if self._streams is not None and facts:
            self._streams.send(node_id, messages.Facts(facts))

    def peer_down(self, node_id: str) -> None:
        self._loop.feed(events.PeerLost(node_id))
        if self._fetches is not None:
            self._fetches.node_lost(node_id)

    def message_received(
        self, node_id: str, message: messages.Message
    ) -> None:
        self._loop.feed(events.HeartbeatReceived(node_id))
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(node_id, message)

    def _facts(self, node_id: str, message: messages.Facts) -> None:
        self._loop.feed(events.FactsReceived(node_id, message.facts))

    def _slot_ask(self, node_id: str, message: messages.SlotAsk) -> None:
        self._loop.feed(
            events.SlotAsked(
                node_id, message.endpoint_id, message.hold_s, message.patient
            )
        )

    def _slot_answer(self, node_id: str, message: messages.SlotAnswer) -> None:
        self._loop.feed(
            events.SlotAnswered(
                node_id,
                message.endpoint_id,
                message.granted,
                message.expires_s,
            )
        )

    def _slot_return(self, node_id: str, message: messages.SlotReturn) -> None:
        self._loop.feed(
            events.SlotReturned(
                node_id,
                message.endpoint_id,
                message.expires_s,
                message.answered_well,
            )
        )
