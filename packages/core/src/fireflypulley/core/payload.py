"""A caller's request in the form that is sent to endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Payload:
    """The parts of a request that reach the endpoint.

    ``path`` starts with a slash and includes the query.
    """

    method: str
    path: str
    content_type: str
    body: bytes
