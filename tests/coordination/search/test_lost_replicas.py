"""Tests that lost replicas cost no coverage and few extra legs."""

from __future__ import annotations

import testtools
from testtools.matchers import GreaterThan, LessThan

from almondspool.codes import ResultCode
from almondspool.coordination.search import crash_tracker, leg_permits
from almondspool.coordination.search.quarantine import (
    QuarantineState,
    compute_fingerprint,
)
from almondspool.coordination.search.shard_run import ShardRun
from almondspool.coordination.upstreams.budget import ExtraLegBudget
from tests.coordination.search_session_driver import (
    Reply,
    SearchSessionDriver,
    make_request,
    make_section,
)

REFUSED = Reply(0.001, ResultCode.LEG_REFUSED, was_run=False)
CUT_OFF = Reply(0.002, ResultCode.LEG_CUT_OFF)
SERVICES = 30
REQUESTS_BEFORE_LOSS = 20
REQUESTS_AFTER_LOSS = 40


def lose_replicas(driver, reply, suffixes="a"):
    for upstream_id in driver.section.upstreams_by_id:
        if upstream_id[-1] in suffixes:
            driver.reply_by_upstream[upstream_id] = reply


def run_requests(driver, count):
    """Run distinct requests, five a second, and return their answers."""
    start = len(driver.answers)
    for number in range(start, start + count):
        request = make_request(request_id=f"r-{number}", query={"at": str(number)})
        driver.run(request, until_s=0.2)
    return driver.answers[start:]


def sum_missing(answers):
    return sum(len(answer.coverage.missing) for answer in answers)


class LostZoneTests(testtools.TestCase):
    """The replicas of one zone are lost while requests to 30 shards run."""

    def lose_zone(self):
        """Return the driver and the number of missing shards in all answers."""
        driver = SearchSessionDriver(make_section(services=SERVICES))
        run_requests(driver, REQUESTS_BEFORE_LOSS)
        lose_replicas(driver, CUT_OFF)
        answers = run_requests(driver, 1)
        lose_replicas(driver, REFUSED)
        return driver, sum_missing(answers + run_requests(driver, REQUESTS_AFTER_LOSS))

    def test_a_lost_zone_costs_no_coverage(self):
        driver, missing = self.lose_zone()
        self.assertEqual(0, missing)
        # Only the retries of the legs that were cut off are extra legs.
        self.assertEqual(SERVICES, driver.context.budget.counts.extra)

    def test_without_moves_the_budget_is_exhausted(self):
        self.patch(ShardRun, "has_unused_permit", False)
        self.assertThat(self.lose_zone()[1], GreaterThan(0))

    def test_without_more_probes_the_deadline_passes_first(self):
        self.patch(crash_tracker, "CONCURRENCY_GROWTH_FACTOR", 1)
        self.assertThat(self.lose_zone()[1], GreaterThan(0))

    def lose_zone_after_start(self):
        driver = SearchSessionDriver(make_section(services=SERVICES))
        lose_replicas(driver, CUT_OFF)
        return sum_missing(run_requests(driver, 1))

    def test_an_instance_that_has_just_started_loses_no_coverage(self):
        self.assertEqual(0, self.lose_zone_after_start())

    def test_without_an_overdraft_it_loses_coverage(self):
        self.patch(ExtraLegBudget, "try_retry_after_loss", ExtraLegBudget.try_retry)
        self.assertThat(self.lose_zone_after_start(), GreaterThan(0))


class MoveTests(testtools.TestCase):
    def refuse_all_but(self, suffixes):
        driver = SearchSessionDriver(make_section(replicas=6), hedge_share=0)
        lost = set("abcdef") - set(suffixes)
        lose_replicas(driver, REFUSED, lost)
        return driver, driver.run()

    def test_one_replica_left_is_found_without_a_budget(self):
        driver, answer = self.refuse_all_but("f")
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual(0, driver.context.budget.counts.extra)

    def test_no_replica_is_tried_twice(self):
        driver, answer = self.refuse_all_but("")
        self.assertEqual(ResultCode.NOT_RUN_NO_UPSTREAM, answer.code)
        used = [action.upstream_id for action in driver.sent]
        self.assertEqual(sorted(driver.section.upstreams_by_id), sorted(used))

    def test_a_leg_that_was_run_draws_on_the_budget(self):
        for code in (ResultCode.LEG_TIMEOUT, ResultCode.LEG_FAILED):
            driver = SearchSessionDriver(make_section(services=1), hedge_share=0)
            driver.reply_by_number = {1: Reply(0.002, code)}
            self.assertEqual(ResultCode.PARTIAL, driver.run().code)
            self.assertEqual(1, len(driver.sent))

    def test_a_shed_leg_draws_on_the_budget(self):
        driver = SearchSessionDriver(make_section(services=1), hedge_share=0)
        shed = Reply(0.001, ResultCode.LEG_SHED, was_run=False)
        driver.reply_by_number = {1: shed}
        self.assertEqual(ResultCode.NOT_RUN_OVERLOADED, driver.run().code)

    def test_attempts_that_reached_an_upstream_are_bounded(self):
        driver = SearchSessionDriver(make_section(services=1, replicas=6))
        lose_replicas(driver, Reply(0.002, ResultCode.LEG_FAILED), "abcdef")
        driver.run()
        self.assertEqual(leg_permits.MAX_REACHED_ATTEMPTS, len(driver.sent))


class HedgeTimerTests(testtools.TestCase):
    def sent_after_refusal(self):
        """Return the reasons for the legs of a shard whose first is refused late."""
        driver = SearchSessionDriver(make_section(services=1))
        run_requests(driver, REQUESTS_BEFORE_LOSS)
        number = len(driver.sent) + 1
        driver.reply_by_number = {number: REFUSED._replace(delay_s=0.004)}
        run_requests(driver, 1)
        return [action.reason.partition(":")[0] for action in driver.sent[number - 1 :]]

    def test_a_moved_leg_is_not_hedged_by_the_timer_of_the_first_leg(self):
        self.assertEqual(["first", "move_after_leg_refused"], self.sent_after_refusal())

    def test_a_shard_held_for_a_probe_is_not_sent_by_its_hedge_timer(self):
        driver = SearchSessionDriver(make_section(services=6))
        driver.reply_by_number = dict.fromkeys(range(1, 7), CUT_OFF)
        # The probe takes longer than any hedge delay.
        driver.reply_by_number[7] = Reply(0.100)
        driver.run(until_s=0.090)
        reasons = [action.reason.partition(":")[0] for action in driver.sent]
        self.assertEqual(["first"] * 6 + ["probe_after_cut_off"], reasons)


class SuspectSearchTests(testtools.TestCase):
    def test_a_harmless_suspect_search_completes_and_is_cleared(self):
        driver = SearchSessionDriver(make_section(services=SERVICES))
        fingerprint = compute_fingerprint(make_request())
        now_ms = int(driver.timers.wall_time() * 1000)
        driver.context.quarantine.record_cut_off(now_ms, fingerprint, "s-lost")
        self.assertEqual(ResultCode.OK, driver.run().code)
        state = driver.context.quarantine.state_of(now_ms, fingerprint)
        self.assertEqual(QuarantineState.CLEAR, state)

    def test_a_suspect_that_crashes_the_next_upstream_is_not_sent_again(self):
        driver = SearchSessionDriver(make_section(services=SERVICES))
        fingerprint = compute_fingerprint(make_request())
        now_ms = int(driver.timers.wall_time() * 1000)
        driver.context.quarantine.record_cut_off(now_ms, fingerprint, "s-lost")
        lose_replicas(driver, CUT_OFF, "abc")
        driver.run()
        self.assertEqual(1, len(driver.sent))


class BrokenReplyTests(testtools.TestCase):
    def repeat(self, code):
        """Return the codes of requests whose only two upstreams cut them off."""
        driver = SearchSessionDriver(make_section(services=2, replicas=1))
        lose_replicas(driver, Reply(0.002, code))
        return [driver.run(make_request(request_id=f"r-{n}")).code for n in range(4)]

    def test_truncated_replies_of_running_upstreams_quarantine_nothing(self):
        codes = self.repeat(ResultCode.LEG_REPLY_CUT_OFF)
        self.assertEqual([ResultCode.PARTIAL] * 4, codes)

    def test_crashes_quarantine_the_request(self):
        codes = self.repeat(ResultCode.LEG_CUT_OFF)
        self.assertEqual(ResultCode.NOT_RUN_QUARANTINED, codes[-1])


class ProbeTests(testtools.TestCase):
    def test_a_crashing_search_is_probed_once(self):
        driver = SearchSessionDriver(make_section(services=SERVICES))
        lose_replicas(driver, CUT_OFF, "abc")
        driver.run()
        self.assertEqual(SERVICES + 1, len(driver.sent))
        exclusive = [action.is_exclusive for action in driver.sent]
        self.assertEqual([False] * SERVICES + [True], exclusive)

    def test_each_answer_doubles_the_probes(self):
        driver = SearchSessionDriver(make_section(services=SERVICES))
        lose_replicas(driver, CUT_OFF)
        driver.run()
        reasons = [action.reason for action in driver.sent]
        self.assertEqual(SERVICES, sum("probe" in reason for reason in reasons))
        self.assertThat(driver.answers[0].elapsed_ms, LessThan(50))

    def test_leg_cut_off_after_the_second_crash_is_not_probed(self):
        driver = SearchSessionDriver(make_section(services=3))
        lose_replicas(driver, CUT_OFF, "abc")
        # The third first leg is still in flight when the probe crashes its upstream.
        driver.reply_by_number = {3: CUT_OFF._replace(delay_s=0.050)}
        driver.run()
        reasons = [action.reason.partition(":")[0] for action in driver.sent]
        self.assertEqual(["first"] * 3 + ["probe_after_cut_off"], reasons)
