"""INI files, parsed with the line numbers of sections and options."""

import collections.abc
import configparser
import dataclasses
import re

from fireflypulley.core import findings

_SECTION = re.compile(r"^\[(?P<name>[^\]]+)\]")
_OPTION = re.compile(r"^(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]")


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One section; ``name`` is the heading's part after the kind."""

    kind: str
    name: str
    line: int
    options: dict[str, str]
    lines: dict[str, int]

    @property
    def title(self) -> str:
        """Return the section's heading, without the brackets."""
        return f"{self.kind} {self.name}".strip()


class IniFile:
    """A parsed INI text and the errors found in it."""

    def __init__(self, text: str, file: str) -> None:
        self.file = file
        self.findings: list[findings.Finding] = []
        self.sections: list[Section] = []
        self._parse(text)

    def _parse(self, text: str) -> None:
        parser = configparser.ConfigParser(
            interpolation=None, default_section="\x00"
        )
        try:
            parser.read_string(text, self.file)
        except configparser.Error as error:
            line = getattr(error, "lineno", None)
            if line is None:
                errors = getattr(error, "errors", None) or [(0, "")]
                line = errors[0][0]
            message = str(error).replace("\n", " ")
            self.add("", "", message, line or 0)
            return
        line_numbers = _find_line_numbers(text)
        for title in parser.sections():
            kind, _, name = title.partition(" ")
            self.sections.append(
                Section(
                    kind,
                    name.strip(),
                    line_numbers.get((title, ""), 0),
                    dict(parser.items(title)),
                    {
                        option: line
                        for (
                            section_title,
                            option,
                        ), line in line_numbers.items()
                        if section_title == title and option
                    },
                )
            )

    def add(self, section: str, option: str, problem: str, line: int) -> None:
        """Record a finding."""
        self.findings.append(
            findings.Finding(self.file, section, option, line, problem)
        )

    def add_at(self, section: Section, option: str, problem: str) -> None:
        """Record a finding at an option of a section."""
        line = section.lines.get(option, section.line)
        self.add(section.title, option, problem, line)

    def of_kind(self, kind: str) -> list[Section]:
        """Return the sections of a kind."""
        return [s for s in self.sections if s.kind == kind]

    def reject_unknown_kinds(
        self, kinds: collections.abc.Collection[str]
    ) -> None:
        """Record a finding for every section of another kind."""
        for section in self.sections:
            if section.kind not in kinds:
                known = ", ".join(sorted(kinds))
                self.add_at(section, "", f"unknown section; known: {known}")

    def raise_findings(self) -> None:
        """Raise ``findings.InvalidInput`` if there are findings."""
        if self.findings:
            raise findings.InvalidInput(self.findings)


def _find_line_numbers(text: str) -> dict[tuple[str, str], int]:
    line_numbers: dict[tuple[str, str], int] = {}
    title = ""
    for number, line in enumerate(text.splitlines(), start=1):
        section = _SECTION.match(line)
        if section:
            title = section["name"]
            line_numbers[(title, "")] = number
            continue
        option = _OPTION.match(line)
        if option:
            line_numbers[(title, option["name"].strip().lower())] = number
    return line_numbers
