"""What is wrong with an input, with its place, reported all together."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a file; ``line`` is 0 where no line can be named."""

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
    """An input with findings; ``findings`` holds all of them."""

    def __init__(self, findings: collections.abc.Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)
