"""Load plans: the system, the requests, their callers and the faults.

A plan is an INI file with a ``[load]`` section, a ``[kind NAME]`` section
for each kind of request, a ``[reader NAME]`` section for each share of the
callers that reads in its own way, and a ``[fault NAME]`` section for each
fault.
"""

import collections.abc
import enum
import pathlib
import typing

import pydantic
import pydantic_core

from fireflypulley.core import findings
from fireflypulley.core import inifile
from fireflystandins.load import readers

_SHARE_TOLERANCE = 1e-9


class FaultAction(enum.StrEnum):
    """The action of a fault on a process."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Load(_Model):
    """The size of the system and the duration of the run."""

    duration_s: float = pydantic.Field(gt=0, le=600)
    nodes: int = pydantic.Field(2, ge=1, le=20)
    replicas: int = pydantic.Field(2, ge=1, le=20)
    seed: int = 1
    max_open: int = pydantic.Field(64, ge=1, le=256)


class Kind(_Model):
    """A kind of request, sent at random times at a mean rate.

    For a stream, ``body`` is the number of events to send.
    """

    path: str = pydantic.Field(pattern=r"^/[a-z]+/")
    rate_per_s: float = pydantic.Field(gt=0, le=500)
    method: typing.Literal["GET", "POST"] = "GET"
    body: str = ""
    patience_ms: int = pydantic.Field(4000, gt=0)
    target_ms: float = pydantic.Field(500.0, gt=0)
    key: str = "key-court"


class Fault(_Model):
    """A fault of a process such as ``node-1`` or ``speech-2``.

    A killed or stopped node is restarted, and a paused process is
    resumed, after ``for_s``.
    """

    at_s: float = pydantic.Field(ge=0)
    on: str
    what: FaultAction
    for_s: float = pydantic.Field(1.0, gt=0)


class Plan(typing.NamedTuple):
    """The validated contents of a file."""

    load: Load
    kinds: dict[str, Kind]
    faults: dict[str, Fault]
    readers: dict[str, readers.AnyProfile]


_Section = typing.TypeVar("_Section", bound=pydantic.BaseModel)


def read(path: pathlib.Path) -> Plan:
    """Return the plan in a file; raises ``findings.InvalidInput``."""
    try:
        ini = inifile.IniFile(path.read_text(), str(path))
    except OSError as error:
        problem = findings.Finding(str(path), "", "", 0, str(error))
        raise findings.InvalidInput([problem])
    ini.reject_unknown_kinds({"load", "kind", "fault", "reader"})
    loads = _sections(ini, "load", Load.model_validate)
    kinds = _sections(ini, "kind", Kind.model_validate)
    faults = _sections(ini, "fault", Fault.model_validate)
    profiles = _sections(ini, "reader", readers.ADAPTER.validate_python)
    _check_readers(ini, profiles)
    if not ini.findings:
        if list(loads) != [""]:
            ini.add("load", "", "exactly one [load] section is needed", 0)
        if not kinds:
            ini.add("kind", "", "at least one [kind NAME] is needed", 0)
    ini.raise_findings()
    return Plan(loads[""], kinds, faults, profiles)


def _sections(
    ini: inifile.IniFile,
    kind: str,
    validate: collections.abc.Callable[[dict[str, str]], _Section],
) -> dict[str, _Section]:
    sections = {}
    for section in ini.of_kind(kind):
        try:
            sections[section.name] = validate(section.options)
        except pydantic.ValidationError as error:
            for problem in error.errors():
                ini.add_at(section, _option(problem), problem["msg"])
    return sections


def _option(problem: pydantic_core.ErrorDetails) -> str:
    """Return the option that a problem is about, "" if there is none."""
    if problem["loc"]:
        return str(problem["loc"][-1])
    # Without a known value of it, no model is chosen.
    return str(problem.get("ctx", {}).get("discriminator", "")).strip("'")


def _check_readers(
    ini: inifile.IniFile,
    profiles: dict[str, readers.AnyProfile],
) -> None:
    """Record what is wrong with the names and the shares."""
    share = 0.0
    for section in ini.of_kind("reader"):
        if section.name in ("", readers.PLAIN):
            problem = f"a name other than {readers.PLAIN!r} is needed"
            ini.add_at(section, "", problem)
        profile = profiles.get(section.name)
        if profile is None:
            continue
        share += profile.share
        if share > 1 + _SHARE_TOLERANCE:
            problem = f"the shares up to here are {share:g}, more than 1"
            ini.add_at(section, "share", problem)
