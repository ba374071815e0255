"""Command-line tool for operators."""

from __future__ import annotations

from almondspool.cli.main import main, run

__all__ = ["main", "run"]
