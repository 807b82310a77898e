"""The header fields by which callers, gateway and endpoints speak."""

import abc
import dataclasses

from fireflypulley.core.gateway import calls

Headers = list[tuple[bytes, bytes]]
"""Field names in lower case with their values, in order."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Fields that concern one connection, or that framing sets anew."""


class InvalidHeaders(ValueError):
    """A request whose header fields can't be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """What an endpoint is told besides the caller's own fields."""

    endpoint_id: str
    time_left_s: float
    workspace: str | None
    priority: int
    resume_after_event_id: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the header fields of an endpoint's answer say.

    ``not_run`` is the endpoint's statement that it ran nothing, and
    ``misdirected`` that it is not the endpoint that was meant.
    """

    request_id: str
    sealed: bool
    not_run: bool = False
    misdirected: bool = False
    encoded: bool = False


class HeaderCodec(abc.ABC):
    """Reads and writes the fields of one deployment."""

    @abc.abstractmethod
    def decode_request(self, headers: Headers) -> calls.RequestMetadata:
        """Return what a caller's fields say; raises ``InvalidHeaders``."""

    @abc.abstractmethod
    def endpoint_headers(
        self, headers: Headers, attempt: AttemptMetadata
    ) -> Headers:
        """Return the fields for an endpoint, without framing."""

    @abc.abstractmethod
    def decode_response(
        self, status: int, headers: Headers
    ) -> ResponseMetadata:
        """Return what an endpoint's fields say."""

    @abc.abstractmethod
    def caller_headers(
        self, headers: Headers, status_unchanged: bool
    ) -> Headers:
        """Return the fields of an answer for the caller.

        ``unchanged`` is false when the status is not the endpoint's.
        """

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Return the fields of the gateway's own answer."""


def hop_by_hop_names(headers: Headers) -> frozenset[bytes]:
    """Return the names that a message keeps to its connection."""
    named = {
        name.strip().lower()
        for field, value in headers
        if field == b"connection"
        for name in value.split(b",")
    }
    return HOP_BY_HOP | named
