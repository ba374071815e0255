"""Measurement of the processor time of a function in this process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


def measure_processor_s(function: Callable[[], object], calls: int) -> float:
    """Return the mean processor time of a call, in seconds.

    One call before the measurement is not counted.
    """
    function()
    started = time.process_time()
    for _ in range(calls):
        function()
    return (time.process_time() - started) / calls
