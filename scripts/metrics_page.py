"""Writes docs/operators/METRICS.md from the code of the metrics."""

import pathlib

from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.daemon import metrics

PAGE = pathlib.Path(__file__).parent.parent / "docs/operators/METRICS.md"


def page() -> str:
    """Return the text of the page."""
    lines = [
        "# Metrics",
        "",
        "`GET /metrics` on the callers' port. Made by",
        "`python scripts/metrics_page.py`; a test compares it with the code.",
        "",
        "| metric | meaning |",
        "|---|---|",
    ]
    help_texts = metrics.Metrics().help_texts
    lines += [f"| `{name}` | {text} |" for name, text in help_texts.items()]
    for title, members in (
        ("Refusal reasons", problems.Reason),
        ("Retry reasons", problems.RetryReason),
        ("Outcomes of attempts", requests.Outcome),
    ):
        lines += ["", f"## {title}", ""]
        lines += [f"- `{member.value}`" for member in members]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page())
