"""Commands for templates, workspaces and settings."""

import dataclasses
import pathlib
import typing

import cappa

from fireflypulley.cli import common
from fireflypulley.cli import output
from fireflypulley.core import findings
from fireflypulley.daemon import settings

_File = typing.Annotated[pathlib.Path, cappa.Arg(help="An INI file.")]
_Base = typing.Annotated[
    int | None,
    cappa.Arg(
        long="--base",
        help="Only change the row if it still has this version.",
    ),
]


@cappa.command(name="validate")
@dataclasses.dataclass
class TemplateValidate(common.Command):
    """Check a template and print all findings.

    Example: fireflypulley template validate court.ini
    """

    file: _File

    def run(self) -> output.ExitCode:
        body = {"text": self.file.read_text(), "file": str(self.file)}
        client = self.connect()
        answer = client.post(body, "templates", "validate")
        return self.printer.end(answer)


@cappa.command(name="apply")
@dataclasses.dataclass
class TemplateApply(common.Command):
    """Make a template the current one.

    Example: fireflypulley template apply court.ini
    """

    file: _File
    base: _Base = None

    def run(self) -> output.ExitCode:
        body = {
            "text": self.file.read_text(),
            "file": str(self.file),
            "base_version": self.base,
        }
        answer = self.connect().post(body, "templates")
        return self.printer.end(answer)


@cappa.command(name="show")
@dataclasses.dataclass
class TemplateShow(common.Command):
    """Print a current template."""

    name: str

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("templates", self.name))


@cappa.command(name="list")
@dataclasses.dataclass
class TemplateList(common.Command):
    """List the current templates."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("templates"))


@cappa.command(name="template")
@dataclasses.dataclass
class Template:
    """Manage templates, which define what workspaces may use."""

    command: cappa.Subcommands[
        TemplateValidate | TemplateApply | TemplateShow | TemplateList
    ]


@cappa.command(name="apply")
@dataclasses.dataclass
class WorkspaceApply(common.Command):
    """Set a workspace's template and parameters.

    Example: fireflypulley workspace apply court-dakar.ini
    """

    file: _File
    base: _Base = None

    def run(self) -> output.ExitCode:
        body = {
            "text": self.file.read_text(),
            "file": str(self.file),
            "base_version": self.base,
        }
        return self.printer.end(self.connect().post(body, "workspaces"))


@cappa.command(name="set")
@dataclasses.dataclass
class WorkspaceSet(common.Command):
    """Change parameters of a workspace.

    Example: fireflypulley workspace set court model_version=v2
    """

    name: str
    parameters: typing.Annotated[
        list[str], cappa.Arg(help="NAME=VALUE, any number of them.")
    ]

    def run(self) -> output.ExitCode:
        values = {}
        for text in self.parameters:
            name, separator, value = text.partition("=")
            if not separator:
                self.printer.line(f"error: not NAME=VALUE: {text!r}")
                return output.ExitCode.INVALID
            values[name] = value
        body = {"parameters": values}
        answer = self.connect().post(body, "workspaces", self.name)
        return self.printer.end(answer)


@cappa.command(name="show")
@dataclasses.dataclass
class WorkspaceShow(common.Command):
    """Print a current workspace."""

    name: str

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("workspaces", self.name))


@cappa.command(name="list")
@dataclasses.dataclass
class WorkspaceList(common.Command):
    """List the current workspaces."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("workspaces"))


@cappa.command(name="workspace")
@dataclasses.dataclass
class Workspace:
    """Manage workspaces, which set the parameters of templates."""

    command: cappa.Subcommands[
        WorkspaceApply | WorkspaceSet | WorkspaceShow | WorkspaceList
    ]


@cappa.command(name="check")
@dataclasses.dataclass
class SettingsCheck(common.Command):
    """Check a daemon's settings file and print all findings.

    Example: fireflypulley settings check node1.ini
    """

    file: _File

    def run(self) -> output.ExitCode:
        try:
            settings.load(self.file)
        except findings.InvalidInput as error:
            self.printer.show(
                [dataclasses.asdict(finding) for finding in error.findings]
            )
            return output.ExitCode.INVALID
        self.printer.line(f"{self.file}: no findings")
        return output.ExitCode.OK


@cappa.command(name="settings")
@dataclasses.dataclass
class Settings:
    """Check daemons' settings files."""

    command: cappa.Subcommands[SettingsCheck]
