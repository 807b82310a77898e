"""Versions order by era, then by number."""

import hypothesis
from hypothesis import strategies
import pytest

from fireflypulley.core.gateway import row_versions

ERAS = strategies.integers(0, row_versions.MAX_ERA)
NUMBERS = strategies.integers(0, row_versions.MAX_NUMBER)


@hypothesis.given(ERAS, NUMBERS, ERAS, NUMBERS)
def test_the_era_decides_before_the_number(era, number, other, other_number):
    one = row_versions.join(era, number)
    two = row_versions.join(other, other_number)
    assert (one < two) == ((era, number) < (other, other_number))
    assert row_versions.era(one) == era
    assert row_versions.number(one) == number


@pytest.mark.parametrize(
    ("era", "number"),
    [(-1, 0), (row_versions.MAX_ERA + 1, 0), (0, -1), (0, 1 << 41)],
)
def test_what_is_out_of_range_is_rejected(era, number):
    with pytest.raises(ValueError):
        row_versions.join(era, number)
