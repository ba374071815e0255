"""Prints line counts of tests and of decision code in the repository."""

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
    """Print line counts and shares of tracked Python files."""
    listing = subprocess.run(
        ["git", "ls-files", "*.py"], cwd=ROOT, check=True, capture_output=True
    )
    paths = listing.stdout.decode().split()
    tests = [path for path in paths if path.startswith("tests/")]
    decisions = [path for path in paths if path.startswith(DECISION_PREFIXES)]
    total = count_lines(paths)
    code = total - count_lines(tests)
    print(f"python lines: {total}")
    print(f"tests: {count_lines(tests)} ({count_lines(tests) / total:.0%} of all)")
    share = count_lines(decisions) / code
    print(f"decisions: {count_lines(decisions)} ({share:.0%} of the code)")


if __name__ == "__main__":
    main()
