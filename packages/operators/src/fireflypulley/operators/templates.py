"""INI templates with typed parameters, rendered for each workspace.

All errors in a template or workspace file are collected with their
locations and reported together.
"""

import dataclasses
import enum
import re
import string
import typing

import pydantic

from fireflypulley.core import configuration
from fireflypulley.core import inifile
from fireflypulley.core import topology

_M = typing.TypeVar("_M", bound=pydantic.BaseModel)
_NAME = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
_TOKEN = re.compile(r"[0-9a-f]{64}")
_TEMPLATE_KINDS = frozenset({"template", "parameter", "service", "route"})
_WORKSPACE_KINDS = frozenset({"workspace", "parameters"})


class ParameterType(enum.StrEnum):
    """The type of a parameter's value."""

    STRING = "string"
    INTEGER = "integer"
    NUMBER = "number"
    BOOLEAN = "boolean"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class ParameterModel(_Model):
    """A ``[parameter NAME]`` section."""

    type: ParameterType = ParameterType.STRING
    default: str | None = None
    minimum: float | None = None
    maximum: float | None = None
    description: str = ""


class TemplateModel(_Model):
    """The ``[template]`` section."""

    name: str = pydantic.Field(pattern=_NAME.pattern + "$")
    weight: float = pydantic.Field(1.0, gt=0, le=1000)
    description: str = ""


class ServiceModel(_Model):
    """A ``[service NAME]`` section."""

    kind: topology.ServiceKind
    version: str = pydantic.Field(min_length=1, max_length=64)
    move_within_s: float = pydantic.Field(3600.0, gt=0)
    slow_after_s: float = pydantic.Field(0.33, gt=0)


class RouteModel(_Model):
    """A ``[route NAME]`` section."""

    service: str
    path: str = pydantic.Field("/", pattern="^/")
    methods: str = ""
    at_most_once: bool = False
    deadline_s: float = pydantic.Field(60.0, gt=0)


class WorkspaceModel(_Model):
    """The ``[workspace]`` section of a workspace file."""

    name: str = pydantic.Field(pattern=_NAME.pattern + "$")
    template: str
    token_sha256: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TemplateFile:
    """A template, validated without any workspace."""

    name: str
    text: str
    parameters: dict[str, ParameterModel]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceFile:
    """A workspace's template, parameters and callers' token hashes."""

    name: str
    template: str
    token_sha256: tuple[str, ...]
    parameters: dict[str, str]


def _validate(
    ini: inifile.IniFile, section: inifile.Section, model: type[_M]
) -> _M | None:
    try:
        return model.model_validate(section.options)
    except pydantic.ValidationError as error:
        for detail in error.errors():
            option = str(detail["loc"][0]) if detail["loc"] else ""
            problem = detail["msg"]
            if detail["type"] == "extra_forbidden":
                known = ", ".join(sorted(model.model_fields))
                problem = f"unknown option; known: {known}"
            elif detail["type"] != "missing":
                problem += f", not {section.options.get(option)!r}"
            ini.add_at(section, option, problem)
        return None


def read_template(text: str, file: str) -> TemplateFile:
    """Return a validated template; raises ``findings.InvalidInput``.

    Services and routes are validated with the parameters' defaults, or
    with sample values for parameters without a default.
    """
    ini = inifile.IniFile(text, file)
    ini.reject_unknown_kinds(_TEMPLATE_KINDS)
    header = _validate_single_section(ini, "template", TemplateModel, {})
    parameters = {}
    for section in ini.of_kind("parameter"):
        model = _validate(ini, section, ParameterModel)
        if model is not None:
            parameters[section.name] = model
            _check_default(ini, section, model)
    values = {
        name: parameter.default
        if parameter.default is not None
        else _sample_value(parameter)
        for name, parameter in parameters.items()
    }
    _read_services_and_routes(ini, values)
    ini.raise_findings()
    assert header is not None
    return TemplateFile(header.name, text, parameters)


def _sample_value(parameter: ParameterModel) -> str:
    if parameter.type is ParameterType.STRING:
        return "value"
    if parameter.type is ParameterType.BOOLEAN:
        return "true"
    return str(parameter.minimum if parameter.minimum is not None else 1)


def _validate_single_section(
    ini: inifile.IniFile,
    kind: str,
    model: type[_M],
    values: dict[str, str],
) -> _M | None:
    sections = ini.of_kind(kind)
    if not sections:
        if not ini.findings:
            ini.add(kind, "", "this section is required", 0)
        return None
    return _validate(ini, _substituted(ini, sections[0], values), model)


def _check_default(
    ini: inifile.IniFile,
    section: inifile.Section,
    model: ParameterModel,
) -> None:
    if model.default is None:
        return
    problem = check_value(model, model.default)
    if problem:
        ini.add_at(section, "default", problem)


def check_value(parameter: ParameterModel, value: str) -> str:
    """Return why a parameter's value is invalid, or an empty string."""
    if parameter.type is ParameterType.STRING:
        return ""
    if parameter.type is ParameterType.BOOLEAN:
        if value.lower() in ("true", "false", "yes", "no"):
            return ""
        return f"not true or false: {value!r}"
    try:
        number = float(value)
        if parameter.type is ParameterType.INTEGER:
            number = int(value)
    except ValueError:
        return f"not of type {parameter.type.value}: {value!r}"
    if parameter.minimum is not None and number < parameter.minimum:
        return f"below the minimum {parameter.minimum}: {value!r}"
    if parameter.maximum is not None and number > parameter.maximum:
        return f"above the maximum {parameter.maximum}: {value!r}"
    return ""


def _substituted(
    ini: inifile.IniFile,
    section: inifile.Section,
    values: dict[str, str],
) -> inifile.Section:
    options = {}
    for name, text in section.options.items():
        try:
            options[name] = string.Template(text).substitute(values)
        except (KeyError, ValueError) as error:
            ini.add_at(section, name, f"unknown parameter {error}")
            options[name] = text
    return dataclasses.replace(section, options=options)


def _read_services_and_routes(
    ini: inifile.IniFile, values: dict[str, str]
) -> tuple[tuple[configuration.Service, ...], tuple[configuration.Route, ...]]:
    services = {}
    for section in ini.of_kind("service"):
        substituted = _substituted(ini, section, values)
        model = _validate(ini, substituted, ServiceModel)
        if not _NAME.fullmatch(section.name):
            ini.add_at(section, "", f"bad service name {section.name!r}")
        if model is not None:
            services[section.name] = configuration.Service(
                section.name,
                model.kind,
                model.version,
                model.move_within_s,
                model.slow_after_s,
            )
    routes = []
    for section in ini.of_kind("route"):
        substituted = _substituted(ini, section, values)
        route = _validate(ini, substituted, RouteModel)
        if route is None:
            continue
        if route.service not in services:
            known = ", ".join(sorted(services)) or "none"
            ini.add_at(
                section,
                "service",
                f"no service {route.service!r}; known: {known}",
            )
            continue
        routes.append(_route(ini, section, route, services))
    return tuple(services.values()), tuple(routes)


def _route(
    ini: inifile.IniFile,
    section: inifile.Section,
    model: RouteModel,
    services: dict[str, configuration.Service],
) -> configuration.Route:
    kind = services[model.service].kind
    if model.at_most_once and kind is topology.ServiceKind.MODEL:
        ini.add_at(
            section,
            "at_most_once",
            "only routes to plain services can be at-most-once",
        )
    return configuration.Route(
        section.name,
        model.service,
        model.path,
        tuple(model.methods.upper().replace(",", " ").split()),
        model.at_most_once,
        model.deadline_s,
    )


def read_workspace(text: str, file: str) -> WorkspaceFile:
    """Return a validated workspace; raises ``findings.InvalidInput``."""
    ini = inifile.IniFile(text, file)
    ini.reject_unknown_kinds(_WORKSPACE_KINDS)
    header = _validate_single_section(ini, "workspace", WorkspaceModel, {})
    parameters: dict[str, str] = {}
    for section in ini.of_kind("parameters"):
        parameters |= section.options
    tokens: tuple[str, ...] = ()
    if header is not None:
        tokens = tuple(header.token_sha256.replace(",", " ").split())
        for token in tokens:
            if not _TOKEN.fullmatch(token):
                ini.add_at(
                    ini.of_kind("workspace")[0],
                    "token_sha256",
                    f"not 64 hexadecimal digits: {token!r}",
                )
    ini.raise_findings()
    assert header is not None
    return WorkspaceFile(header.name, header.template, tokens, parameters)


def render(
    template_text: str, workspace: WorkspaceFile
) -> configuration.Workspace:
    """Return the configuration of a workspace.

    Raises ``findings.InvalidInput`` if a parameter is unknown, missing or
    invalid, or if its value makes a service or route invalid.
    """
    file = f"template {workspace.template}"
    template = read_template(template_text, file)
    ini = inifile.IniFile(template_text, file)
    where = f"workspace {workspace.name}"
    values: dict[str, str] = {}
    for name, parameter in template.parameters.items():
        value = workspace.parameters.get(name, parameter.default)
        if value is None:
            ini.add(where, name, "this parameter is required", 0)
            continue
        values[name] = value
        problem = check_value(parameter, value)
        if problem:
            ini.add(where, name, problem, 0)
    for name in workspace.parameters:
        if name not in template.parameters:
            known = ", ".join(sorted(template.parameters)) or "none"
            ini.add(where, name, f"unknown parameter; known: {known}", 0)
    ini.raise_findings()
    header = _validate_single_section(ini, "template", TemplateModel, values)
    services, routes = _read_services_and_routes(ini, values)
    ini.raise_findings()
    assert header is not None
    return configuration.Workspace(
        workspace.template,
        tuple(sorted(workspace.parameters.items())),
        workspace.token_sha256,
        header.weight,
        services,
        routes,
    )
