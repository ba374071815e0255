"""Regression runs: plays the users' bench on the milestone's sites against bounds.

Usage: ``python -m tools.regress BENCH SITES [NAME ...]``, with the path of the bench's
program and of the folder that holds the site files. Prints one line a site.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys
from typing import NamedTuple

# What two scores of the same code differ by at most, as the bench's page says.
NOISE = 0.03
# One play at a time: a day of the large site has 195 processes and takes 6 GB.
JOBS = 1
EXIT_FAILED = 1
EXIT_NOT_RUN = 2
_DAY = re.compile(r"^(\S+)\s+\d+/\d+\s+\S+\s+(-?\d+\.\d+)\s")
# Days drawn anew for each score count for the gate, not for the worth.
_DRAWN = "fresh-"


class Bound(NamedTuple):
    """What a site has reached.

    Attributes:
        path: Its file, below the folder of the sites.
        worth: Mean worth of its standard days; None where only the gate is held.
    """

    path: str
    worth: float | None = None


BOUND_BY_SITE = {
    "saiawa-search-large": Bound("large/saiawa-search-large.toml"),
    "kdr-search": Bound("further/kdr-search.toml", 0.753),
    "kdr-search-grown": Bound("further-grown/kdr-search-grown.toml", 0.702),
    "saiawa-search-grown": Bound("grown/saiawa-search-grown.toml"),
    "cavy-search-grown": Bound("grown/cavy-search-grown.toml"),
}


class Result(NamedTuple):
    """What one score said.

    Attributes:
        is_gate_passed: Whether the bench passed its gate.
        worth: Mean worth of the standard days; None if no day was played.
    """

    is_gate_passed: bool
    worth: float | None


def read_score(text: str) -> Result:
    """Return what the output of a score says."""
    worths = []
    for line in text.splitlines():
        found = _DAY.match(line)
        if found and not found[1].startswith(_DRAWN):
            worths.append(float(found[2]))
    worth = sum(worths) / len(worths) if worths else None
    return Result("GATE passed" in text.splitlines(), worth)


def judge(result: Result, bound: Bound) -> str:
    """Return what is wrong with a result; empty if nothing."""
    if result.worth is None:
        return "no day was played"
    if not result.is_gate_passed:
        return "gate failed"
    if bound.worth is not None and result.worth < bound.worth - NOISE:
        return f"worth fell below {bound.worth:.3f} by more than {NOISE}"
    return ""


def main(argv: list[str]) -> int:
    """Score the named sites, or all of them.

    Args:
        argv: The bench's program, the folder of the sites, names of sites.

    Returns:
        0 if every site holds its bound, 1 if one does not, 2 if nothing was run.
    """
    bench = pathlib.Path(argv[0]) if argv else pathlib.Path()
    if len(argv) < 2 or not bench.is_file():
        print("not run: the bench is not here; give its program and the sites' folder")
        return EXIT_NOT_RUN
    names = argv[2:] or list(BOUND_BY_SITE)
    unknown = sorted(set(names) - BOUND_BY_SITE.keys())
    if unknown:
        print(f"not run: no site is called {', '.join(unknown)}")
        return EXIT_NOT_RUN
    problems = [_play(bench, pathlib.Path(argv[1]), name) for name in names]
    return EXIT_FAILED if any(problems) else 0


def _play(bench: pathlib.Path, sites: pathlib.Path, name: str) -> str:
    bound = BOUND_BY_SITE[name]
    command = [str(bench), "score", str(sites / bound.path), f"--jobs={JOBS}"]
    done = subprocess.run(
        [*command, "--why=Regression run"], capture_output=True, text=True
    )
    result = read_score(done.stdout)
    problem = judge(result, bound)
    worth, least = _figure(result.worth), _figure(bound.worth)
    print(f"{name}: worth {worth}, bound {least}: {problem or 'holds'}")
    return problem


def _figure(worth: float | None) -> str:
    return "none" if worth is None else f"{worth:.3f}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
