"""Validates the bodies of model requests."""

import typing

import pydantic


class ModelBody(pydantic.BaseModel):
    """The fields that the node reads; others are passed through."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: str = pydantic.Field(min_length=1, max_length=256)
    stream: bool = False
    messages: list[dict[str, typing.Any]] | None = None
    prompt: str | None = None


def first_problem(error: pydantic.ValidationError) -> str:
    """Return the first validation error, with its location."""
    first = error.errors()[0]
    location = ".".join(str(part) for part in first["loc"])
    return f"{location or 'body'}: {first['msg']}"
