"""Bodies of model requests, checked where they come in."""

import typing

import pydantic


class ModelBody(pydantic.BaseModel):
    """The fields that the node itself reads; the rest passes through."""

    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    model: str = pydantic.Field(min_length=1, max_length=256)
    stream: bool = False
    messages: list[dict[str, typing.Any]] | None = None
    prompt: str | None = None


def first_problem(error: pydantic.ValidationError) -> str:
    """Return the first finding of a validation, with its place."""
    first = error.errors()[0]
    location = ".".join(str(part) for part in first["loc"])
    return f"{location or 'body'}: {first['msg']}"
