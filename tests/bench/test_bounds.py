"""Checks that the policies' figures stay within their bounds."""

import pytest

from fireflystandins.bench import scenarios

pytestmark = pytest.mark.bench

SEED = 1


@pytest.mark.parametrize("name", scenarios.SCENARIOS)
def test_figures_are_within_bounds(name):
    figures = scenarios.SCENARIOS[name](SEED)
    assert [
        str(figure) for figure in figures if not figure.is_within_bound
    ] == []
