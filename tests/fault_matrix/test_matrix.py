"""Every step of every path under every fault, singly and in pairs."""

import random

import pytest

from fireflystandins.virtual import matrix

pytestmark = pytest.mark.fault_matrix

SEED = 1
PAIRS = 48
PAIR_SEED = 20261204

CELLS = [(step, fault) for step in matrix.STEPS for fault in matrix.FAULTS]
IMPOSSIBLE = {
    "start-refused": "no step of a request or a change starts instances",
}


def _pairs() -> list[tuple[tuple[str, str], tuple[str, str]]]:
    chance = random.Random(PAIR_SEED)
    found = []
    while len(found) < PAIRS:
        one, other = chance.choice(CELLS), chance.choice(CELLS)
        if one[0] != other[0]:
            found.append((one, other))
    return found


def _name(cell: tuple[str, str]) -> str:
    return f"{cell[0]}-{cell[1]}"


@pytest.mark.parametrize("cell", CELLS, ids=_name)
def test_single_fault(cell):
    step, fault = cell
    findings, reached = matrix.run_cell({step: fault}, SEED)
    assert step in reached
    assert findings == []


@pytest.mark.parametrize(
    "pair", _pairs(), ids=lambda p: f"{_name(p[0])}+{_name(p[1])}"
)
def test_pair_of_faults(pair):
    findings, _ = matrix.run_cell(dict(pair), SEED)
    assert findings == []


def test_every_fault_of_the_brief_is_in_the_matrix_or_listed():
    wanted = {
        "reclaim-wave",
        "start-refused",
        "reclaim-cut-short",
        "bad-version",
        "cold-again",
        "store-down",
        "store-slow",
        "answer-lost",
        "lease-lapsed",
        "operators-race",
        "poison",
        "endpoint-killed",
        "node-paused",
    }
    assert wanted <= set(matrix.FAULTS) | set(IMPOSSIBLE)
