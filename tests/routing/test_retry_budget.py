from __future__ import annotations

import random

import testtools
from testtools.matchers import LessThan

from almondspool.routing.retry_budget import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.2, slack=58.0, window_s=10.0)


def max_excess(arrivals, extras, limits):
    """Return by how much the extra sends in any window exceed the limit at most.

    The limit is computed from the requests of the window, of the one before it, or of
    the one half a window earlier, whichever has the most.
    """
    excess = float("-inf")
    window_s = limits.window_s
    for start in sorted(extras):
        inside = sum(start <= sent_at < start + window_s for sent_at in extras)
        requests = max(
            sum(
                start - offset_s <= arrived_at < start - offset_s + window_s
                for arrived_at in arrivals
            )
            for offset_s in (0.0, window_s, window_s / 2)
        )
        excess = max(excess, inside - limits.ratio * requests - limits.slack)
    return excess


class RetryBudgetTests(testtools.TestCase):
    def simulate(self, instances, rate_per_s, seconds=40.0, seed=1):
        """Try an extra send after each request; return the times of both.

        Every request goes to a random instance.
        """
        rng = random.Random(seed)
        budgets = [RetryBudget(LIMITS) for _ in range(instances)]
        for budget in budgets:
            budget.set_share_divisor(instances)
        arrivals, extras = [], []
        now = 0.0
        while now < seconds:
            now += rng.expovariate(rate_per_s)
            budget = rng.choice(budgets)
            budget.record_request(now, "shard")
            arrivals.append(now)
            if budget.try_acquire(now, "shard"):
                extras.append(now)
        return arrivals, extras

    def test_sum_over_nine_instances_keeps_the_limit(self):
        for seed in range(3):
            arrivals, extras = self.simulate(9, 100.0, seed=seed)
            self.assertThat(max_excess(arrivals, extras, LIMITS), LessThan(0.0))
            # Most of the allowed extra sends can be used.
            self.assertTrue(len(extras) > 0.12 * len(arrivals))

    def test_limit_holds_after_traffic_stops(self):
        budget = RetryBudget(LIMITS)
        arrivals, extras = [], []
        for number in range(1000):
            now = number / 100.0
            budget.record_request(now, "shard")
            arrivals.append(now)
        now = 10.0
        while now < 30.0:
            now += 0.02
            if budget.try_acquire(now, "shard"):
                extras.append(now)
        self.assertThat(max_excess(arrivals, extras, LIMITS), LessThan(0.0))

    def test_services_have_separate_budgets(self):
        budget = RetryBudget(RetryBudgetLimits(0.0, 2.4, 10.0))
        self.assertTrue(budget.try_acquire(0.0, "one"))
        self.assertTrue(budget.try_acquire(0.0, "one"))
        self.assertFalse(budget.try_acquire(0.0, "one"))
        self.assertTrue(budget.try_acquire(0.0, "two"))

    def test_slack_is_divided_among_instances(self):
        budget = RetryBudget(LIMITS)
        alone = budget.available(0.0, "shard")
        budget.set_share_divisor(9)
        self.assertAlmostEqual(alone / 9, budget.available(0.0, "shard"))

    def test_changed_limits_keep_the_counts(self):
        budget = RetryBudget(LIMITS)
        for _ in range(10):
            budget.try_acquire(0.0, "shard")
        budget.set_limits(LIMITS._replace(slack=5.0))
        self.assertFalse(budget.try_acquire(0.0, "shard"))
