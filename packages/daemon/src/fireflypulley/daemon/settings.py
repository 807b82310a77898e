"""The daemon's settings, read from INI files and validated."""

import pathlib
import typing

import pydantic

from fireflypulley.core import findings
from fireflypulley.core.gateway import node_limits
from fireflypulley.core import inifile
from fireflypulley.core import pool

MAX_LOAD_PERIOD_S = pool.REPORT_TIMEOUT_S / 4
_KINDS = frozenset({"node", "platform", "limits"})
_M = typing.TypeVar("_M", bound=pydantic.BaseModel)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class NodeSettings(_Model):
    """The node's identity and the addresses it listens on.

    ``callers``, ``operators`` and ``streams`` are Twisted server
    endpoint strings; ``dial`` is a client endpoint string in which
    ``{host}`` and ``{port}`` stand for another node's address.
    """

    node_id: str = pydantic.Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")
    failure_domain: str = pydantic.Field(min_length=1)
    region: str = "local"
    callers: str
    operators: str
    streams: str
    advertise: str = pydantic.Field(pattern=r"^[0-9.]+:[0-9]+$")
    dial: str = "tcp:host={host}:port={port}"
    key_file: pathlib.Path
    operator_token_file: pathlib.Path
    log_file: pathlib.Path | None = None


class PlatformSettings(_Model):
    """The platform's address and the polling periods."""

    url: str = pydantic.Field(pattern="^https?://")
    token_file: pathlib.Path
    config_period_s: float = pydantic.Field(1.0, gt=0, le=60)
    instances_period_s: float = pydantic.Field(0.5, gt=0, le=60)
    load_period_s: float = pydantic.Field(0.5, gt=0, le=MAX_LOAD_PERIOD_S)


class LimitSettings(_Model):
    """Time limits of the node, and what its machine allows it."""

    shutdown_grace_s: float = pydantic.Field(30.0, gt=0)
    balancer_delay_s: float = pydantic.Field(1.0, ge=0)
    kept_answer_s: float = pydantic.Field(60.0, ge=0)
    memory_mb: int = pydantic.Field(
        node_limits.DEFAULT_MEMORY_BYTES // node_limits.MIB, gt=0
    )
    descriptors: int = pydantic.Field(node_limits.DEFAULT_DESCRIPTORS, gt=0)

    @property
    def of_machine(self) -> node_limits.NodeLimits:
        """Return what the node's process may use."""
        memory_bytes = self.memory_mb * node_limits.MIB
        return node_limits.NodeLimits(memory_bytes, self.descriptors)


class Settings(_Model):
    """All settings of a daemon."""

    node: NodeSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()


def _section(ini: inifile.IniFile, kind: str, model: type[_M]) -> _M | None:
    sections = ini.of_kind(kind)
    options = sections[0].options if sections else {}
    try:
        return model.model_validate(options)
    except pydantic.ValidationError as error:
        for error_fields in error.errors():
            option = str(error_fields["loc"][0]) if error_fields["loc"] else ""
            problem = _problem(error_fields, options.get(option), model)
            if sections:
                ini.add_at(sections[0], option, problem)
            else:
                ini.add(kind, option, problem, 0)
        return None


def _problem(
    error_fields: typing.Any,
    value: str | None,
    model: type[pydantic.BaseModel],
) -> str:
    if error_fields["type"] == "extra_forbidden":
        known = ", ".join(sorted(model.model_fields))
        return f"unknown option; known: {known}"
    if error_fields["type"] == "missing":
        return "this option is required"
    return f"{error_fields['msg']}, not {value!r}"


def _check_file(
    ini: inifile.IniFile, kind: str, option: str, path: pathlib.Path
) -> None:
    try:
        if path.read_text().strip():
            return
        problem = f"the file {str(path)!r} is empty"
    except (OSError, UnicodeDecodeError) as error:
        problem = f"cannot read {str(path)!r}: {error}"
    ini.add_at(ini.of_kind(kind)[0], option, problem)


def parse(text: str, file: str) -> Settings:
    """Return the settings in a text.

    Raises ``findings.InvalidInput`` with all findings.
    """
    ini = inifile.IniFile(text, file)
    ini.raise_findings()
    ini.reject_unknown_kinds(_KINDS)
    node = _section(ini, "node", NodeSettings)
    platform = _section(ini, "platform", PlatformSettings)
    limits = _section(ini, "limits", LimitSettings)
    if node is not None:
        _check_file(ini, "node", "key_file", node.key_file)
        token_file = node.operator_token_file
        _check_file(ini, "node", "operator_token_file", token_file)
    if platform is not None:
        _check_file(ini, "platform", "token_file", platform.token_file)
    ini.raise_findings()
    assert node and platform and limits
    return Settings(node=node, platform=platform, limits=limits)


def load(path: pathlib.Path) -> Settings:
    """Return the settings in a file; raises as ``parse`` does."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise findings.InvalidInput(
            [findings.Finding(str(path), "", "", 0, str(error))]
        )
    return parse(text, str(path))
