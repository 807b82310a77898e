"""Reading profiles: how a share of the callers takes its answers."""

import collections.abc
import random
import typing

import pydantic

PLAIN = "plain"
"""The callers of no profile: they read whole answers at once."""
MAX_STAY_S = 600.0
MAX_BYTES = 1 << 30
_Bytes = typing.Annotated[int, pydantic.Field(ge=1, le=MAX_BYTES)]
_Duration = typing.Annotated[
    float, pydantic.Field(gt=0, le=MAX_STAY_S, allow_inf_nan=False)
]


class Profile(pydantic.BaseModel):
    """What all profiles have in common.

    ``receive_buffer_bytes`` is asked of the system, which may give more;
    without it the system chooses.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    share: float = pydantic.Field(gt=0, le=1)
    receive_buffer_bytes: _Bytes | None = None


class Whole(Profile):
    """Reads as fast as the answer comes."""

    manner: typing.Literal["whole"]


class Steady(Profile):
    """Reads a number of bytes a second."""

    manner: typing.Literal["steady"]
    bytes_per_s: _Bytes


class Pauses(Profile):
    """Reads nothing for a while, each time it has had so much."""

    manner: typing.Literal["pauses"]
    pause_s: _Duration
    every_bytes: _Bytes


class Never(Profile):
    """Reads nothing, and leaves after a while."""

    manner: typing.Literal["never"]
    stay_s: _Duration


class Leaves(Profile):
    """Leaves when it has had so much of the body."""

    manner: typing.Literal["leaves"]
    after_bytes: _Bytes


AnyProfile = typing.Annotated[
    Whole | Steady | Pauses | Never | Leaves,
    pydantic.Field(discriminator="manner"),
]
ADAPTER: pydantic.TypeAdapter[AnyProfile] = pydantic.TypeAdapter(AnyProfile)
AS_PLAIN = Whole(share=1, manner="whole")


def choose(
    profiles: collections.abc.Mapping[str, Profile], rng: random.Random
) -> str:
    """Return the name of a profile, by share."""
    point = rng.random()
    for name, profile in profiles.items():
        point -= profile.share
        if point < 0:
            return name
    return PLAIN
