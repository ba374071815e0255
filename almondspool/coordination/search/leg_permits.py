"""Rules for when a shard's next leg may be sent: now, after a delay, or never.

A leg that never reached an upstream puts no load on one, so the leg that replaces it
is not an extra leg: it goes to another replica without drawing on the budget of extra
legs. No upstream gets two legs of one shard, so the number of replicas bounds these
replacements.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode

if TYPE_CHECKING:
    from almondspool.coordination.search.shard_run import ShardRun
    from almondspool.coordination.upstreams.budget import ExtraLegBudget

# Legs of one shard that reach an upstream, including the first one.
MAX_REACHED_ATTEMPTS = 3
# Delays before a retry that the budget refused asks it again; then the shard gives up.
BUDGET_RETRY_DELAYS_S = (0.010, 0.040)


def has_attempts_left(run: ShardRun) -> bool:
    """Return whether a shard may get another leg if the budget allows it."""
    return run.has_unused_permit or run.reached_attempts < MAX_REACHED_ATTEMPTS


def acquire_permit(now: float, budget: ExtraLegBudget, run: ShardRun) -> float:
    """Acquire a permit for a shard's next leg.

    Args:
        now: Monotonic seconds.
        budget: Budget of the instance's extra legs.
        run: A shard without a leg in flight.

    Returns:
        0.0 if the leg may be sent, else the seconds to wait before the next call, or
        infinity if the shard gets no further leg.
    """
    if run.has_unused_permit:
        return 0.0
    if run.attempts == 0:
        budget.record_first(now)
    elif not _try_retry(now, budget, run):
        return _next_budget_delay_s(run)
    run.permits += 1
    return 0.0


def _try_retry(now: float, budget: ExtraLegBudget, run: ShardRun) -> bool:
    if run.code == ResultCode.LEG_CUT_OFF:
        return budget.try_retry_after_loss(now)
    return budget.try_retry(now)


def _next_budget_delay_s(run: ShardRun) -> float:
    if run.budget_waits == len(BUDGET_RETRY_DELAYS_S):
        return math.inf
    run.budget_waits += 1
    return BUDGET_RETRY_DELAYS_S[run.budget_waits - 1]
