"""A request as the caller sent it, for whoever carries it on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """The parts of a request that reach the endpoint.

    ``path`` starts with a slash and holds the query.
    """

    method: str
    path: str
    content_type: str
    body: bytes
