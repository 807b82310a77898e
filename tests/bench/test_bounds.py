"""The policies' figures stay within bounds from the stated targets."""

import pytest

from fireflystandins.bench import scenarios

pytestmark = pytest.mark.bench

SEED = 1


@pytest.mark.parametrize("name", scenarios.SCENARIOS)
def test_figures_are_within_bounds(name):
    found = scenarios.SCENARIOS[name](SEED)
    assert [str(one) for one in found if not one.is_within_bound] == []
