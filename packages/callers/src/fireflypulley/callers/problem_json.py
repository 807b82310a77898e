"""Refusals as RFC 9457 problem documents."""

import json
import math

from fireflypulley.core import problems

CONTENT_TYPE = "application/problem+json"
_TYPE = "urn:fireflypulley:problem:"


def encode(refusal: problems.Refusal) -> bytes:
    """Return the problem document of a refusal."""
    fields: dict[str, str | int | float] = {
        "type": _TYPE + refusal.reason.value,
        "title": refusal.reason.value.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "reason": refusal.reason.value,
        "run": refusal.run.value,
    }
    if refusal.retry_after_s is not None:
        fields["retry_after_s"] = round(refusal.retry_after_s, 3)
    return json.dumps(fields).encode()


def retry_after(refusal: problems.Refusal) -> str | None:
    """Return the ``Retry-After`` header in whole seconds."""
    if refusal.retry_after_s is None:
        return None
    return str(math.ceil(refusal.retry_after_s))
