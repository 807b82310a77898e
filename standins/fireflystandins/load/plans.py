"""What to play: kinds of request, faults, and the system before them.

An INI file with a ``[load]`` section, a ``[kind NAME]`` section for each
kind of request and a ``[fault NAME]`` section for each fault.
"""

import enum
import pathlib
import typing

import pydantic

from fireflypulley.core import findings
from fireflypulley.core import inifile


class FaultAction(enum.StrEnum):
    """What a fault does to a process."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Load(_Model):
    """The system, and for how long it is played."""

    duration_s: float = pydantic.Field(gt=0, le=600)
    nodes: int = pydantic.Field(2, ge=1, le=20)
    replicas: int = pydantic.Field(2, ge=1, le=20)
    seed: int = 1
    max_open: int = pydantic.Field(64, ge=1, le=256)


class Kind(_Model):
    """One kind of request, sent at random moments at a mean rate.

    To a stream, ``body`` is the number of events wanted.
    """

    path: str = pydantic.Field(pattern=r"^/[a-z]+/")
    rate_per_s: float = pydantic.Field(gt=0, le=500)
    method: typing.Literal["GET", "POST"] = "GET"
    body: str = ""
    patience_ms: int = pydantic.Field(4000, gt=0)
    target_ms: float = pydantic.Field(500.0, gt=0)
    key: str = "key-court"


class Fault(_Model):
    """A fault of one process: ``node-1``, ``speech-2`` and so on.

    A killed or stopped node starts again ``for_s`` later; a paused
    process goes on.
    """

    at_s: float = pydantic.Field(ge=0)
    on: str
    what: FaultAction
    for_s: float = pydantic.Field(1.0, gt=0)


class Plan(typing.NamedTuple):
    """A checked file."""

    load: Load
    kinds: dict[str, Kind]
    faults: dict[str, Fault]


_Section = typing.TypeVar("_Section", bound=_Model)


def read(path: pathlib.Path) -> Plan:
    """Return a file's plan; raises ``findings.InvalidInput``."""
    try:
        ini = inifile.IniFile(path.read_text(), str(path))
    except OSError as error:
        problem = findings.Finding(str(path), "", "", 0, str(error))
        raise findings.InvalidInput([problem])
    ini.reject_others({"load", "kind", "fault"})
    loads = _sections(ini, "load", Load)
    kinds = _sections(ini, "kind", Kind)
    faults = _sections(ini, "fault", Fault)
    if not ini.findings:
        if list(loads) != [""]:
            ini.add("load", "", "exactly one [load] section is needed", 0)
        if not kinds:
            ini.add("kind", "", "at least one [kind NAME] is needed", 0)
    ini.raise_findings()
    return Plan(loads[""], kinds, faults)


def _sections(
    ini: inifile.IniFile, kind: str, model: type[_Section]
) -> dict[str, _Section]:
    sections = {}
    for section in ini.of_kind(kind):
        try:
            sections[section.name] = model.model_validate(section.options)
        except pydantic.ValidationError as error:
            for problem in error.errors():
                option = str(problem["loc"][0]) if problem["loc"] else ""
                ini.add_at(section, option, problem["msg"])
    return sections
