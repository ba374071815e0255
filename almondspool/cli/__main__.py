"""Runs the command-line tool as ``python -m almondspool.cli``."""

from __future__ import annotations

from almondspool.cli.main import run

if __name__ == "__main__":
    run()
