from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st
from testtools.matchers import GreaterThan

from almondspool.codes import ResultCode
from almondspool.coordination.search.quarantine import Quarantine
from almondspool.coordination.upstreams import budget as budget_module
from almondspool.coordination.upstreams.budget import ExtraLegBudget
from almondspool.protocol.caller import ShardOutcome
from almondspool.protocol.peer import Suspicion
from tests.coordination.search_session_driver import (
    Reply,
    SearchSessionDriver,
    make_request,
    make_section,
)

LEG_CODES = [code for code in ResultCode if code >= 800]
REPLIES = st.builds(
    Reply,
    delay_s=st.sampled_from([0.0, 0.001, 0.006, 0.060, 0.150, 0.400]),
    code=st.sampled_from([ResultCode.OK] * 8 + LEG_CODES),
    was_run=st.booleans(),
    snapshot=st.sampled_from([None, None, None, 6, 7, 8]),
    copies=st.sampled_from([0, 1, 1, 1, 2]),
)
WINDOW_S = 10
SCRIPTS = st.lists(REPLIES, min_size=0, max_size=12)


def _run(script, swap_s, request, hedge_share=0.05):
    driver = SearchSessionDriver(
        make_section(services=3, snapshot_ids=(7,)), 1, "i-1", hedge_share
    )
    driver.reply_by_number = dict(enumerate(script, start=1))
    newer = make_section(services=3, snapshot_ids=(7, 8))
    if swap_s is not None:
        driver.timers.call_later(swap_s, lambda: setattr(driver, "section", newer))
    driver.run(request)
    return driver


class SearchPropertyTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(SCRIPTS, st.sampled_from([None, 0.0005, 0.03]))
    def test_one_correct_answer_from_one_snapshot(self, script, swap_s):
        driver = _run(script, swap_s, make_request())
        self.assertEqual(1, len(driver.answers))
        answer = driver.answers[0]
        coverage = answer.coverage
        self.assertTrue(coverage.is_consistent())
        self.assertEqual(3, coverage.total)
        missing = {shard.shard for shard in coverage.missing}
        found = {record.fields["at"] for record in answer.records}
        self.assertEqual(set(), missing & found)
        self.assertEqual(coverage.answered, len(found))
        self.assertEqual(coverage.answered == 3, answer.code == ResultCode.OK)
        # Only a reply of the answer's own snapshot may have been counted.
        accepted = [
            line
            for line in driver.lines
            if "event=leg.result" in line
            and "code=OK" in line
            and f"snapshot={answer.snapshot}" in line
        ]
        self.assertThat(
            len(accepted),
            testtools.matchers.Not(testtools.matchers.LessThan(coverage.answered)),
        )

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(SCRIPTS)
    def test_not_run_is_answered_only_when_no_leg_ran(self, script):
        driver = _run(script, None, make_request())
        if 200 <= driver.answers[0].code < 300:
            outcomes = {shard.outcome for shard in driver.answers[0].coverage.missing}
            self.assertEqual({ShardOutcome.NOT_SENT}, outcomes)
            for action, reply in zip(driver.sent, script, strict=False):
                self.assertEqual(
                    (False, 1), (reply.was_run, min(1, reply.copies)), action
                )

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(SCRIPTS, st.sampled_from([None, 0.0005]))
    def test_non_idempotent_runs_at_most_once(self, script, swap_s):
        request = make_request(idempotent=False, shard="shard-0", issued_at_ms=1)
        driver = _run(script, swap_s, request)
        replies = [
            driver.reply_by_number.get(number + 1, Reply())
            for number in range(len(driver.sent))
        ]
        # Another leg was sent only after the one before it was reported as not run.
        for reply in replies[:-1]:
            self.assertFalse(reply.was_run or reply.code == ResultCode.OK)
        self.assertEqual(1, len(driver.answers))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 3), st.sampled_from("fhr")), max_size=200))
    def test_extra_legs_stay_within_the_share_of_a_window(self, steps):
        budget = ExtraLegBudget(0.05)
        now = 0.0
        sent = []
        for wait_s, kind in steps:
            now += wait_s
            if kind == "f":
                budget.record_first(now, 20)
                sent.append((now, 20, 0))
            elif budget.try_hedge(now) if kind == "h" else budget.try_retry(now):
                sent.append((now, 0, 1))
        oldest = int(now) - WINDOW_S + 1
        recent = [entry for entry in sent if entry[0] >= oldest]
        first = sum(entry[1] for entry in recent)
        extra = sum(entry[2] for entry in recent)
        allowed = 0.05 * first + budget_module.MIN_CREDIT_LIMIT_LEGS
        earned_before = 0.05 * sum(entry[1] for entry in sent if entry[0] < oldest)
        self.assertTrue(extra <= allowed + earned_before)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.floats(0, 30), st.sampled_from("fhrc"), st.sampled_from([1, 20])
            ),
            max_size=100,
        )
    )
    def test_extra_legs_stay_within_the_share_in_the_long_run(self, steps):
        budget = ExtraLegBudget(0.05)
        call_by_kind = {
            "h": budget.try_hedge,
            "r": budget.try_retry,
            "c": budget.try_retry_after_loss,
            "f": budget.record_first,
        }
        now, max_overdraft = 0.0, 0.0
        for wait_s, kind, count in steps:
            now += wait_s
            for _ in range(count):
                call_by_kind[kind](now)
            max_overdraft = max(max_overdraft, budget.overdraft(now))
        counts = budget.counts
        initial_credit = budget_module.MIN_CREDIT_LIMIT_LEGS
        allowed = 0.05 * counts.first + initial_credit + max_overdraft
        self.assertThat(counts.extra, testtools.matchers.Not(GreaterThan(allowed)))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.data())
    def test_suspicions_merge_in_any_order_and_number(self, data):
        suspicions = data.draw(
            st.lists(
                st.builds(
                    Suspicion,
                    st.sampled_from(["one", "two"]),
                    st.integers(0, 3),
                    st.sampled_from(["s-a", "s-b", "s-c", "s-d", "s-e"]),
                    st.integers(900, 3000),
                ),
                max_size=8,
            )
        )
        shuffled = data.draw(st.permutations(suspicions + suspicions[:3]))
        one, other = Quarantine(1.5), Quarantine(1.5)
        for suspicion in suspicions:
            one.merge(1000, suspicion)
        for suspicion in shuffled:
            other.merge(1000, suspicion)
        for now_ms in (1000, 1500, 2600):
            for fingerprint in ("one", "two"):
                self.assertEqual(
                    one.state_of(now_ms, fingerprint),
                    other.state_of(now_ms, fingerprint),
                )
