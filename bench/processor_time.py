"""Measurement of the processor time of a function in this process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def processor_s(work: Callable[[], object], rounds: int) -> float:
    """Return the processor seconds of one call, after an uncounted warm-up call."""
    work()
    started = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - started) / rounds
