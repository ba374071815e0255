"""Plan of the faults of one run, drawn from a seed."""

from __future__ import annotations

import random
from typing import NamedTuple

# Seconds between the starts of two faults. Faults last longer, so that they overlap.
MIN_GAP_S = 0.4
MAX_GAP_S = 1.6
MIN_DURATION_S = 1.0
MAX_DURATION_S = 4.0

INSTANCE_FAULTS = ("kill", "stop", "pause")
STORE_FAULTS = ("silent", "busy", "lapse", "forget")
LINK_FAULTS = ("delay", "reset", "silent", "cut_replies", "silence_open")
SEARCHER_FAULTS = ("drain", "full", "fail", "slow", "unlist")


class Fault(NamedTuple):
    """One fault of a run.

    Attributes:
        starts_at_s: When it starts, in seconds since the start of the run.
        duration_s: How long it lasts, in seconds.
        area: ``instance``, ``store``, ``link``, ``searcher`` or ``configuration``.
        kind: Which fault of its area it is.
        target_number: Selects the instance, link or searcher, modulo their count.
    """

    starts_at_s: float
    duration_s: float
    area: str
    kind: str
    target_number: int


_KINDS_BY_AREA = {
    "instance": INSTANCE_FAULTS,
    "store": STORE_FAULTS,
    "link": LINK_FAULTS,
    "searcher": SEARCHER_FAULTS,
    "configuration": ("change",),
}


def plan_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed in the order of their start."""
    rng = random.Random(seed)
    faults = []
    starts_at_s = 0.5
    while starts_at_s < seconds - MAX_DURATION_S:
        area = rng.choice(tuple(_KINDS_BY_AREA))
        kind = rng.choice(_KINDS_BY_AREA[area])
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(Fault(starts_at_s, duration_s, area, kind, rng.randrange(1000)))
        starts_at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    return faults
