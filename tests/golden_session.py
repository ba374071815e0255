"""Comparison of the lines of a session with a committed golden file."""

from __future__ import annotations

import os
import pathlib
from typing import TYPE_CHECKING

from approvaltests import Options, verify
from approvaltests.core.namer import Namer
from approvaltests.reporters.python_native_reporter import PythonNativeReporter

if TYPE_CHECKING:
    from collections.abc import Sequence

GOLDEN_DIR = pathlib.Path(__file__).parent / "golden"
REGENERATE_VARIABLE = "ALMONDSPOOL_REGENERATE_GOLDEN"


class SessionNamer(Namer):
    """Namer of one session's files in the golden directory."""

    def __init__(self, session: str) -> None:
        super().__init__()
        self._session = session

    def get_approved_filename(self, base: str | None = None) -> str:
        return str(GOLDEN_DIR / f"{self._session}.approved.txt")

    def get_received_filename(self, base: str | None = None) -> str:
        return str(GOLDEN_DIR / f"{self._session}.received.txt")


def verify_session(session: str, lines: Sequence[str]) -> None:
    """Compare a session's lines with its golden file, byte for byte.

    With ALMONDSPOOL_REGENERATE_GOLDEN=1 the golden file is written instead.
    """
    text = "\n".join(lines) + "\n"
    namer = SessionNamer(session)
    if os.environ.get(REGENERATE_VARIABLE) == "1":
        pathlib.Path(namer.get_approved_filename()).write_text(text)
        return
    options = Options().with_namer(namer).with_reporter(PythonNativeReporter())
    verify(text, options=options)
