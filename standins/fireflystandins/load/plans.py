"""Load plans: the system, the kinds of request and the faults.

A plan is an INI file with a ``[load]`` section, a ``[kind NAME]`` section
for each kind of request and a ``[fault NAME]`` section for each fault.
"""

import enum
import pathlib
import typing

import pydantic

from fireflypulley.core import findings
from fireflypulley.core import inifile


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


_Section = typing.TypeVar("_Section", bound=_Model)


def read(path: pathlib.Path) -> Plan:
    """Return the plan in a file; raises ``findings.InvalidInput``."""
    try:
        ini = inifile.IniFile(path.read_text(), str(path))
    except OSError as error:
        problem = findings.Finding(str(path), "", "", 0, str(error))
        raise findings.InvalidInput([problem])
    ini.reject_unknown_kinds({"load", "kind", "fault"})
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
