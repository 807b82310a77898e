"""Encodes messages as msgpack; decodes and validates them."""

import functools
import typing

import msgpack
import pydantic

from fireflypulley.core import configuration
from fireflypulley.core import facts
from fireflypulley.core.gateway import versions
from fireflypulley.nodes import messages

MAX_MESSAGE_BYTES = 16 << 20
FIRST_BUFFER_BYTES = 4096
"""msgpack takes a megabyte otherwise, and uses all of it in turn."""


class BadMessage(ValueError):
    """The received bytes are not a valid message."""


_FACTS: dict[str, type[facts.Fact]] = {
    cls.__name__: cls
    for cls in (
        facts.Warmth,
        facts.Leaving,
        facts.Suspicion,
        facts.Evidence,
        facts.Trip,
        facts.NodeDown,
        facts.NodeLeaving,
        versions.PhaseReached,
        configuration.Entry,
    )
}
_MESSAGES: dict[str, type[messages.Message]] = {
    cls.__name__: cls
    for cls in (
        messages.Hello,
        messages.Proof,
        messages.Heartbeat,
        messages.SlotAsk,
        messages.SlotAnswer,
        messages.SlotReturn,
        messages.KeyHeld,
        messages.KeyQuestion,
        messages.KeyAnswer,
        messages.FetchAsk,
        messages.FetchData,
        messages.FetchEnd,
        messages.Handover,
        messages.HandoverTaken,
        messages.States,
        messages.Rows,
        messages.Introduction,
        messages.TunnelRequest,
        messages.TunnelResponse,
        messages.TunnelData,
        messages.TunnelEnd,
        messages.TunnelClosing,
        messages.LimitReports,
        messages.CrashReports,
        messages.LeavingReports,
        messages.UsageReports,
        messages.PermitRequest,
        messages.PermitResponse,
    )
}


@functools.cache
def _adapter(name: str) -> pydantic.TypeAdapter[typing.Any]:
    """Return the adapter of a type, built on first use."""
    return pydantic.TypeAdapter(_FACTS.get(name) or _MESSAGES[name])


def _dump(value: typing.Any) -> list[typing.Any]:
    name = type(value).__name__
    return [name, _adapter(name).dump_python(value)]


def encode(message: messages.Message) -> bytes:
    """Return a message as msgpack bytes."""
    if isinstance(message, messages.Facts):
        packed = ["Facts", [_dump(fact) for fact in message.facts]]
    else:
        packed = _dump(message)
    data: bytes = msgpack.packb(packed)
    return data


def _load(packed: typing.Any, known: dict[str, typing.Any]) -> typing.Any:
    if not isinstance(packed, list) or len(packed) != 2:
        raise BadMessage("not a pair of name and fields")
    name, fields = packed
    if not isinstance(name, str) or name not in known:
        raise BadMessage(f"unknown name {name!r}")
    try:
        return _adapter(name).validate_python(fields)
    except pydantic.ValidationError as error:
        raise BadMessage(f"{name}: {error.error_count()} invalid fields")


def decode(packed: typing.Any) -> messages.Message:
    """Return the message in an unpacked object.

    Raises ``BadMessage``.
    """
    if isinstance(packed, list) and packed[:1] == ["Facts"]:
        if len(packed) != 2 or not isinstance(packed[1], list):
            raise BadMessage("Facts: not a list")
        return messages.Facts(tuple(_load(fact, _FACTS) for fact in packed[1]))
    message: messages.Message = _load(packed, _MESSAGES)
    return message


class Reader:
    """Splits a stream of bytes into messages."""

    def __init__(self, max_bytes: int) -> None:
        self._unpacker = msgpack.Unpacker(
            read_size=min(FIRST_BUFFER_BYTES, max_bytes),
            max_buffer_size=max_bytes,
            raw=False,
            strict_map_key=False,
        )

    def feed(self, data: bytes) -> list[messages.Message]:
        """Append received bytes; return the messages completed by them.

        Raises ``BadMessage``.
        """
        try:
            self._unpacker.feed(data)
            return [decode(packed) for packed in self._unpacker]
        except BadMessage:
            raise
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise BadMessage(repr(error))
