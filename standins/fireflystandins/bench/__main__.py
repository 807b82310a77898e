"""``python -m fireflystandins.bench [--scenario NAME] [--seed N]``."""

import argparse
import dataclasses
import json
import sys

from fireflystandins.bench import scenarios


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="fireflystandins.bench")
    names = sorted(scenarios.SCENARIOS)
    parser.add_argument("--scenario", choices=names, action="append")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    return parser


def main() -> int:
    """Print the figures; return 1 when a bound is not met."""
    options = _parser().parse_args()
    met = True
    for name in options.scenario or scenarios.SCENARIOS:
        for figure in scenarios.SCENARIOS[name](options.seed):
            met = met and figure.is_within_bound
            if options.json:
                fields = dataclasses.asdict(figure)
                print(json.dumps(fields | {"seed": options.seed}))
            else:
                print(figure, flush=True)
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
