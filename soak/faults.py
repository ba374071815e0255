"""Random plan of the faults of one soak run, determined by a seed."""

from __future__ import annotations

import random
from typing import NamedTuple

# Seconds between the starts of two faults. Faults last longer, so that they overlap.
MIN_GAP_S = 0.4
MAX_GAP_S = 1.6
MIN_DURATION_S = 1.0
MAX_DURATION_S = 4.0

# SIGKILL, SIGTERM and SIGSTOP.
INSTANCE_FAULTS = ("kill", "stop", "pause")
# No replies; status 503; all searcher entries deleted; change history deleted.
STORE_FAULTS = ("silent", "busy", "lapse", "forget")
# Modes of soak.proxy.
LINK_FAULTS = ("delay", "reset", "silent", "cut_replies", "silence_open")
# Listed as draining; rejects requests; fails them; runs them slowly; entry deleted.
SEARCHER_FAULTS = ("drain", "full", "fail", "slow", "unlist")

# These come besides, so that kept seeds still have the faults with which they failed.
# Names a limit on its requests; entry deleted, as searchers do that leave unannounced.
FURTHER_SEARCHER_FAULTS = ("limit", "leave")
MIN_FURTHER_GAP_S = 1.0
MAX_FURTHER_GAP_S = 4.0
# Longer than a searcher that has left may be used.
FURTHER_DURATION_S = 6.0
# Returns to a copy made at the start of the fault.
RESTORE = "restore"
# How an instance is cut off from all searchers, as in UpstreamCut.
STRANDED_MODES = ("hang", "reset", "refuse")
MIN_RARE_GAP_S = 5.0
MAX_RARE_GAP_S = 12.0


class Fault(NamedTuple):
    """One fault of a run.

    Attributes:
        starts_at_s: Start time, in seconds since the start of the run.
        duration_s: Duration, in seconds.
        area: ``instance``, ``store``, ``link``, ``searcher`` or ``configuration``.
        kind: One of the faults of its area, such as INSTANCE_FAULTS; ``change`` for
            the configuration.
        target_number: Index of the instance, link or searcher, modulo their count.
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


def plan_faults(seed: int, run_duration_s: float) -> list[Fault]:
    """Return the faults of a seed in the order of their start.

    Args:
        seed: Seed of the random choices.
        run_duration_s: Duration of the run in seconds; all faults end within it.
    """
    rng = random.Random(seed)
    faults = []
    starts_at_s = 0.5
    while starts_at_s < run_duration_s - MAX_DURATION_S:
        area = rng.choice(tuple(_KINDS_BY_AREA))
        kind = rng.choice(_KINDS_BY_AREA[area])
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        faults.append(Fault(starts_at_s, duration_s, area, kind, rng.randrange(1000)))
        starts_at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
    faults += _plan_further_faults(random.Random(f"further/{seed}"), run_duration_s)
    faults += _plan_rare_faults(random.Random(f"rare/{seed}"), run_duration_s)
    return sorted(faults)


def _plan_further_faults(rng: random.Random, run_duration_s: float) -> list[Fault]:
    faults = []
    starts_at_s = rng.uniform(MIN_FURTHER_GAP_S, MAX_FURTHER_GAP_S)
    while starts_at_s < run_duration_s - FURTHER_DURATION_S:
        kind = rng.choice(FURTHER_SEARCHER_FAULTS)
        number = rng.randrange(1000)
        faults.append(Fault(starts_at_s, FURTHER_DURATION_S, "searcher", kind, number))
        starts_at_s += rng.uniform(MIN_FURTHER_GAP_S, MAX_FURTHER_GAP_S)
    return faults


def _plan_rare_faults(rng: random.Random, run_duration_s: float) -> list[Fault]:
    """Return restores of the store, and instances that lose all searchers."""
    faults = []
    starts_at_s = rng.uniform(0.0, MIN_RARE_GAP_S)
    while starts_at_s < run_duration_s - FURTHER_DURATION_S:
        area, kind = rng.choice(
            (("store", RESTORE), *(("instance", mode) for mode in STRANDED_MODES))
        )
        duration_s = rng.uniform(MIN_DURATION_S, FURTHER_DURATION_S)
        faults.append(Fault(starts_at_s, duration_s, area, kind, rng.randrange(1000)))
        starts_at_s += rng.uniform(MIN_RARE_GAP_S, MAX_RARE_GAP_S)
    return faults
