"""Regression check: compares the users' bench scores of sites with their bounds.

Usage: ``python -m tools.regress BENCH SITES [NAME ...]``, with the path of the bench
program and of the directory of the site files. Prints one line for each site.

To score a site, the bench runs several days, each of which has a worth, and decides
whether the site passes a gate.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys
from typing import NamedTuple

# Largest difference in worth between two scores of the same code, according to the
# documentation of the bench.
MAX_WORTH_NOISE = 0.03
# One day at a time: a day of the large site runs 195 processes and takes 6 GB.
MAX_PARALLEL_DAYS = 1
EXIT_FAILED = 1
EXIT_NOT_RUN = 2
_DAY_PATTERN = re.compile(r"^(\S+)\s+\d+/\d+\s+\S+\s+(-?\d+\.\d+)\s")
# Name prefix of days that are generated anew for each score. They count for the gate,
# but not for the worth.
_GENERATED_DAY_PREFIX = "fresh-"


class SiteBound(NamedTuple):
    """Result that a site has reached and must not fall below.

    Attributes:
        path: Path of its file, relative to the directory of the sites.
        worth: Mean worth of its days that are not generated anew; None if only the gate
            is checked.
    """

    path: str
    worth: float | None = None


BOUND_BY_SITE = {
    "saiawa-search-large": SiteBound("large/saiawa-search-large.toml"),
    "kdr-search": SiteBound("further/kdr-search.toml", 0.753),
    "kdr-search-grown": SiteBound("further-grown/kdr-search-grown.toml", 0.702),
    "saiawa-search-grown": SiteBound("grown/saiawa-search-grown.toml"),
    "cavy-search-grown": SiteBound("grown/cavy-search-grown.toml"),
}


class ScoreResult(NamedTuple):
    """Result of the score of one site.

    Attributes:
        is_gate_passed: Whether the site passed the gate of the bench.
        worth: Mean worth of the days that are not generated anew; None if none ran.
    """

    is_gate_passed: bool
    worth: float | None


def read_score(text: str) -> ScoreResult:
    """Parse the output of the bench for the score of one site."""
    worths = []
    for line in text.splitlines():
        match = _DAY_PATTERN.match(line)
        if match and not match[1].startswith(_GENERATED_DAY_PREFIX):
            worths.append(float(match[2]))
    worth = sum(worths) / len(worths) if worths else None
    return ScoreResult("GATE passed" in text.splitlines(), worth)


def find_problem(result: ScoreResult, bound: SiteBound) -> str:
    """Return why a result misses its bound, or an empty string if it does not."""
    if result.worth is None:
        return "no day was run"
    if not result.is_gate_passed:
        return "gate failed"
    if bound.worth is not None and result.worth < bound.worth - MAX_WORTH_NOISE:
        return f"worth fell below {bound.worth:.3f} by more than {MAX_WORTH_NOISE}"
    return ""


def main(argv: list[str]) -> int:
    """Score the named sites, or all of them, and print the results.

    Args:
        argv: Path of the bench program, directory of the site files, names of sites.

    Returns:
        0 if every site reaches its bound, 1 if one does not, 2 if nothing was run.
    """
    bench_path = pathlib.Path(argv[0]) if argv else pathlib.Path()
    if len(argv) < 2 or not bench_path.is_file():
        print("not run: bench program not found; pass its path and the site directory")
        return EXIT_NOT_RUN
    site_names = argv[2:] or list(BOUND_BY_SITE)
    unknown = sorted(set(site_names) - BOUND_BY_SITE.keys())
    if unknown:
        print(f"not run: unknown site {', '.join(unknown)}")
        return EXIT_NOT_RUN
    problems = [
        _check_site(bench_path, pathlib.Path(argv[1]), name) for name in site_names
    ]
    return EXIT_FAILED if any(problems) else 0


def _check_site(bench_path: pathlib.Path, sites_dir: pathlib.Path, name: str) -> str:
    bound = BOUND_BY_SITE[name]
    command = [
        str(bench_path),
        "score",
        str(sites_dir / bound.path),
        f"--jobs={MAX_PARALLEL_DAYS}",
    ]
    completed = subprocess.run(
        [*command, "--why=Regression run"], capture_output=True, text=True
    )
    result = read_score(completed.stdout)
    problem = find_problem(result, bound)
    worth, min_worth = _format_worth(result.worth), _format_worth(bound.worth)
    print(f"{name}: worth {worth}, bound {min_worth}: {problem or 'holds'}")
    return problem


def _format_worth(worth: float | None) -> str:
    return "none" if worth is None else f"{worth:.3f}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
