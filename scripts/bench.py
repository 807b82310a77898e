"""Runs all benchmarks; prints ``name value unit bound``."""

import pathlib
import sys
import tempfile

from fireflystandins.bench import scenarios
from fireflystandins import daemon_benchmark
from fireflystandins import gateway_benchmark
from fireflystandins import slow_caller_benchmark

SEED = 1


def main() -> int:
    """Run the benchmarks; return 1 if a bound is not met."""
    all_met = True
    with tempfile.TemporaryDirectory(prefix="fireflypulley-") as folder:
        path = pathlib.Path(folder)
        for figure in (
            *gateway_benchmark.measure(path / "gateway"),
            *daemon_benchmark.measure(path / "daemon"),
            *slow_caller_benchmark.measure(path / "slow"),
        ):
            all_met = all_met and figure.is_within_bound
            print(figure, flush=True)
    for scenario in scenarios.SCENARIOS.values():
        for figure in scenario(SEED):
            all_met = all_met and figure.is_within_bound
            print(figure, flush=True)
    return 0 if all_met else 1


if __name__ == "__main__":
    sys.exit(main())
