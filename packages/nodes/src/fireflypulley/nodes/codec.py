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
MAX_REST_BYTES = 32 << 10
"""Of a message that is not complete, kept as plain bytes: msgpack's reader
takes 40 KiB and buffers of its own."""


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
    """Splits a stream of bytes into messages.

    Between reads it keeps the bytes of a message that is not complete, and
    msgpack's reader only if there are many: it would read them again.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._rest = b""
        self._unpacker: msgpack.Unpacker | None = None
        self._fed_bytes = 0

    def feed(self, data: bytes) -> list[messages.Message]:
        """Append received bytes; return the messages completed by them.

        Raises ``BadMessage``.
        """
        try:
            return [decode(packed) for packed in self._unpack(data)]
        except BadMessage:
            raise
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise BadMessage(repr(error))

    def _unpack(self, data: bytes) -> list[typing.Any]:
        """Return the objects completed by the bytes, and keep the rest."""
        data, self._rest = self._rest + data, b""
        unpacker = self._unpacker or self._create_unpacker(len(data))
        unpacker.feed(data)
        self._fed_bytes += len(data)
        complete, left_bytes = [], self._fed_bytes
        for packed in unpacker:
            complete.append(packed)
            left_bytes = self._fed_bytes - unpacker.tell()
        self._unpacker = unpacker
        if left_bytes <= MAX_REST_BYTES:
            self._unpacker = None
            self._rest = data[len(data) - left_bytes :]
        return complete

    def _create_unpacker(self, size_bytes: int) -> msgpack.Unpacker:
        """Return a reader for as many bytes as there are."""
        self._fed_bytes = 0
        return msgpack.Unpacker(
            read_size=max(1, min(size_bytes, self._max_bytes)),
            max_buffer_size=self._max_bytes,
            raw=False,
            strict_map_key=False,
        )
