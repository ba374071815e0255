"""Prints the line counts of the tests and of the decision code in the repository.

Decision code is the code of the packages coordination, routing and state.
"""

from __future__ import annotations

import pathlib
import subprocess

ROOT = pathlib.Path(__file__).resolve().parent.parent
DECISION_PREFIXES = (
    "almondspool/coordination/",
    "almondspool/routing/",
    "almondspool/state/",
)


def count_lines(paths: list[str]) -> int:
    """Return the total number of lines of the files."""
    return sum(len((ROOT / path).read_text().splitlines()) for path in paths)


def main() -> None:
    """Print the line counts of tracked Python files.

    The share of the tests is that of all lines; the share of the decision code is that
    of the lines outside the tests.
    """
    listing = subprocess.run(
        ["git", "ls-files", "*.py"], cwd=ROOT, check=True, capture_output=True
    )
    paths = listing.stdout.decode().split()
    test_paths = [path for path in paths if path.startswith("tests/")]
    decision_paths = [path for path in paths if path.startswith(DECISION_PREFIXES)]
    total_lines = count_lines(paths)
    code_lines = total_lines - count_lines(test_paths)
    print(f"python lines: {total_lines}")
    print(
        f"tests: {count_lines(test_paths)}"
        f" ({count_lines(test_paths) / total_lines:.0%} of all)"
    )
    decision_share = count_lines(decision_paths) / code_lines
    print(
        f"decisions: {count_lines(decision_paths)} ({decision_share:.0%} of the code)"
    )


if __name__ == "__main__":
    main()
