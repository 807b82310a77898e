"""Errors of an input with their locations, all reported together."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One error in a file; ``line`` is 0 if the line is unknown."""

    file: str
    section: str
    option: str
    line: int
    problem: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}: [{self.section}]"
        if self.option:
            location += f" {self.option}"
        return f"{location}: {self.problem}"


class InvalidInput(ValueError):
    """An invalid input; ``findings`` holds all of its errors."""

    def __init__(self, findings: collections.abc.Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)
