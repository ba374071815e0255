"""Run soak tests by seed: ``python -m soak --seed N --count N --seconds S``."""

from __future__ import annotations

import argparse
import pathlib
import shutil
import sys
import time

from soak.run import SoakRun

RESULTS_DIRECTORY = pathlib.Path("build/soak")


def main(arguments: list[str]) -> int:
    """Run the seeds in turn; return 1 if a run broke a guarantee, else 0.

    The logs of a run are kept in RESULTS_DIRECTORY only if it broke a guarantee.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--instances", type=int, default=3)
    options = parser.parse_args(arguments)
    failed_count = 0
    for seed in range(options.seed, options.seed + options.count):
        run = SoakRun(seed, options.seconds, options.instances)
        problems = run.run_and_keep_logs(RESULTS_DIRECTORY / str(seed))
        print(f"seed {seed}: {len(problems)} problems, {run.summary()}", flush=True)
        for problem in problems[:20]:
            print(f"  {problem}", flush=True)
        failed_count += bool(problems)
        if not problems:
            shutil.rmtree(RESULTS_DIRECTORY / str(seed), ignore_errors=True)
    print(f"{options.count - failed_count} passed, {failed_count} failed")
    return int(failed_count > 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
