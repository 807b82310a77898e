"""Conversion of HTTP header fields to and from the gateway's types."""

import abc
import dataclasses

from fireflypulley.core.gateway import calls

Headers = list[tuple[bytes, bytes]]
"""Lower-case field names with their values, in order."""

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
"""Fields that apply to one connection, or that framing sets again."""


class InvalidHeaders(ValueError):
    """Raised for a request with invalid header fields."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptMetadata:
    """What the gateway adds to the caller's fields for one attempt."""

    endpoint_id: str
    time_left_s: float
    workspace: str | None
    priority: int
    resume_after_event_id: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the header fields of an endpoint's response say.

    ``not_run`` is set if the endpoint states that it did not execute the
    request, and ``misdirected`` if the request reached an endpoint other
    than the expected one.  ``limit_per_s`` is the rate that the endpoint
    takes from all nodes together, None if it names no valid one;
    ``invalid_limit`` is a value that is no positive number.
    ``refusals_per_s`` is how many requests the endpoint may refuse before
    it falls over, None if it bears any number.  ``leaving`` is whether the
    endpoint says that it is going to stop.  ``pause_s`` is for how long it
    wants no requests from this node.
    """

    request_id: str
    sealed: bool
    not_run: bool = False
    misdirected: bool = False
    encoded: bool = False
    limit_per_s: float | None = None
    invalid_limit: str = ""
    refusals_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None


class HeaderCodec(abc.ABC):
    """Decodes and encodes the header fields of one deployment."""

    @abc.abstractmethod
    def decode_request(self, headers: Headers) -> calls.RequestMetadata:
        """Decode a caller's fields; raise ``InvalidHeaders`` on error."""

    @abc.abstractmethod
    def endpoint_headers(
        self, headers: Headers, attempt: AttemptMetadata
    ) -> Headers:
        """Return the fields to send to an endpoint, without framing."""

    @abc.abstractmethod
    def decode_response(
        self, status: int, headers: Headers
    ) -> ResponseMetadata:
        """Decode the fields of an endpoint's response."""

    @abc.abstractmethod
    def caller_headers(
        self, headers: Headers, status_unchanged: bool
    ) -> Headers:
        """Return the response fields to send to the caller.

        ``status_unchanged`` is false if the gateway replaced the
        endpoint's status.
        """

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Headers:
        """Return the fields of a response made by the gateway."""


def hop_by_hop_names(headers: Headers) -> frozenset[bytes]:
    """Return the names of the fields that are not to be forwarded."""
    named = {
        name.strip().lower()
        for field, value in headers
        if field == b"connection"
        for name in value.split(b",")
    }
    return HOP_BY_HOP | named
