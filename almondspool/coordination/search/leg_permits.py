"""When a shard's next leg may be sent: at once, after a wait, or never.

A leg of which nothing reached an upstream put no load on one, so the leg that replaces
it is no extra leg: it moves to another replica without drawing on the budget. No
upstream gets two legs of one shard, so the replicas bound the moves.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondspool.codes import ResultCode

if TYPE_CHECKING:
    from almondspool.coordination.search.shard_run import ShardRun
    from almondspool.coordination.upstreams.budget import ExtraLegBudget

MAX_ATTEMPTS = 3
BUDGET_WAITS_S = (0.010, 0.040)


def has_attempts_left(run: ShardRun) -> bool:
    """Return whether a shard may have a further leg, if the budget allows it."""
    return run.has_leg_in_hand or run.reached < MAX_ATTEMPTS


def take_permit(now: float, budget: ExtraLegBudget, run: ShardRun) -> float:
    """Return 0.0 if a shard's next leg may be sent, and count it.

    Args:
        now: Monotonic seconds.
        budget: Caps the extra legs of the instance.
        run: A shard without a leg in flight.

    Returns:
        Seconds to wait before asking again, or infinity to give the shard up.
    """
    if run.has_leg_in_hand:
        return 0.0
    if run.attempts == 0:
        budget.note_first(now)
    elif not _take_retry(now, budget, run):
        return _next_wait_s(run)
    run.permitted += 1
    return 0.0


def _take_retry(now: float, budget: ExtraLegBudget, run: ShardRun) -> bool:
    if run.code == ResultCode.LEG_CUT_OFF:
        return budget.take_retry_after_loss(now)
    return budget.take_retry(now)


def _next_wait_s(run: ShardRun) -> float:
    if run.budget_waits == len(BUDGET_WAITS_S):
        return math.inf
    run.budget_waits += 1
    return BUDGET_WAITS_S[run.budget_waits - 1]
