"""The table of a run, and what is known of each break."""

import collections
import collections.abc
import json
import pathlib
import re
import time

from fireflystandins.soak import callers
from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

MAX_BREAKS_SHOWN = 5
AROUND_S = 1.0
MAX_LINES = 12
_FREQUENT = ('"message_type":"request"', '"message_type":"rows"')


def table(
    judged: collections.abc.Sequence[tuple[base.Checker, base.Verdict]],
) -> str:
    """Return the table: rule, times checked, times broken."""
    rows = [f"{'rule':10}{'checked':>9}{'broken':>8}  sentence"]
    for checker, verdict in judged:
        rows.append(
            f"{checker.rule:10}{verdict.checked:9}{len(verdict.breaks):8}"
            f"  {checker.sentence}"
        )
    return "\n".join(rows)


def summary(seen: evidence.Evidence) -> str:
    """Return how answers and runs ended, and what was tried on streams."""
    counts = {
        "answers": collections.Counter(one.how for one in seen.answers),
        "runs": collections.Counter(one.how or "never" for one in seen.runs),
        "flaws": collections.Counter(
            run.flaw for run in seen.runs if run.flaw
        ),
        "copies": {"written": seen.copies},
        "after an event": collections.Counter(
            "runs" for run in seen.runs if run.last
        ),
        "came back": collections.Counter(
            one.turn for one in seen.answers if one.turn
        ),
    }
    return "\n".join(
        f"{name}: " + ", ".join(f"{key} {n}" for key, n in found.items())
        for name, found in counts.items()
    )


def find_lines(folder: pathlib.Path, request_id: str) -> list[str]:
    """Return the log lines of all nodes that name a request."""
    wanted = f'"id":"{request_id}"'
    return [
        line
        for path in sorted(folder.glob("node*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if wanted in line
    ]


def find_around(folder: pathlib.Path, node: str, at_s: float) -> list[str]:
    """Return a node's lines around a moment, but for frequent kinds."""
    offset_s = time.time() - time.monotonic()
    lines = []
    path = folder / f"{node}.log"
    if not path.exists():
        return []
    for line in path.read_text(errors="replace").splitlines():
        found = re.search(r'"timestamp":([\d.]+)', line)
        if found is None or any(kind in line for kind in _FREQUENT):
            continue
        if abs(float(found[1]) - offset_s - at_s) <= AROUND_S:
            lines.append(line)
    return lines[:MAX_LINES]


def describe(
    seen: evidence.Evidence, broken: base.Break, folder: pathlib.Path
) -> str:
    """Return the first event of a break and the log lines around it."""
    rows = [f"{broken.rule} at {broken.node}: {broken.text}"]
    if broken.request_id:
        rows.append(f"  request {broken.request_id}")
        for run in seen.runs_of(broken.request_id):
            rows.append(
                f"  run {run.name} after {run.last}:"
                f" ended {run.how or 'never'}, {run.events} events,"
                f" flaw {run.flaw or 'none'},"
                f" {run.ended_s - broken.at_s:+.3f} s from the break"
            )
        lines = find_lines(folder, broken.request_id)
        rows.extend(f"  | {line}" for line in lines or ["no line names it"])
    for one in seen.happenings:
        is_flaw = one.strike.kind is plan.Kind.FLAW
        if one.began_s <= broken.at_s <= one.ended_s + 3 and not is_flaw:
            rows.append(
                f"  {one.strike.kind} {one.strike.target}"
                f" {one.began_s - broken.at_s:+.2f} s"
            )
    around = find_around(folder, broken.node, broken.at_s)
    rows.extend(f"  . {line}" for line in around)
    return "\n".join(rows)


def early_ends(
    seen: evidence.Evidence, folder: pathlib.Path
) -> list[dict[str, object]]:
    """Return all answers that ended early, with what is known of each."""
    found = []
    for answer in seen.answers:
        is_early = answer.how in ("reset", "closed", "late", "invalid")
        if is_early and (answer.status or seen.runs_of(answer.request_id)):
            found.append(_early_end(seen, answer, folder))
    return found


def _early_end(
    seen: evidence.Evidence, answer: callers.Answer, folder: pathlib.Path
) -> dict[str, object]:
    lines = find_lines(folder, answer.request_id)
    results = [
        fields.get("result") or f"{fields['outcome']}:{fields['next']}"
        for fields in map(json.loads, lines)
        if "result" in fields or "outcome" in fields
    ]
    runs = seen.runs_of(answer.request_id)
    stops_s = [
        round(answer.ended_s - one.began_s, 2)
        for one in seen.happenings
        if one.strike.target == answer.node
        and one.strike.kind.value == "stop"
        and 0 <= answer.ended_s - one.began_s <= 12
    ]
    return {
        "id": answer.request_id,
        "node": answer.node,
        "style": answer.style,
        "route": answer.route,
        "how": answer.how,
        "status": answer.status,
        "bytes": len(answer.body),
        "took_s": round(answer.ended_s - answer.sent_s, 2),
        "lines": results,
        "runs": [
            (run.endpoint, run.how, run.events, run.endpoint in seen.exits)
            for run in runs
        ],
        "after_sigterm_s": stops_s,
    }
