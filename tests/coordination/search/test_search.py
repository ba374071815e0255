from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.search import answers, search
from almondspool.coordination.search.crash_tracker import CrashTracker
from almondspool.coordination.search.quarantine import Quarantine, QuarantineState
from almondspool.coordination.search.search import make_session
from almondspool.coordination.search.search_context import renew_context
from almondspool.coordination.search.shard_run import CheckedResult
from almondspool.coordination.upstreams.budget import ExtraLegBudget
from almondspool.coordination.upstreams.replicas import ReplicaChooser
from almondspool.protocol.caller import NO_COVERAGE, Record
from almondspool.protocol.upstream import LegResult, LoadReport
from almondspool.state.document import Shard, Snapshot
from tests.coordination.search_session_driver import (
    SILENT,
    Reply,
    SearchSessionDriver,
    make_request,
    make_section,
)
from tests.golden_session import verify_session

BOOKING = make_request(idempotent=False, shard="shard-0", issued_at_ms=1)
REFUSED = Reply(0.001, ResultCode.LEG_REFUSED, was_run=False)
CUT_OFF = Reply(0.002, ResultCode.LEG_CUT_OFF)


class SearchSessionTests(testtools.TestCase):
    def test_complete_answer(self):
        driver = SearchSessionDriver()
        answer = driver.run()
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual((7, 2), (answer.snapshot, answer.coverage.answered))
        verify_session("search_all_well", driver.lines)

    def test_straggler_is_hedged_and_the_slower_leg_cancelled(self):
        driver = SearchSessionDriver()
        driver.reply_by_number[1] = Reply(0.120)
        answer = driver.run()
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual(3, len(driver.sent))
        self.assertEqual(driver.sent[0].leg.leg_id, driver.cancelled[0].leg_id)
        self.assertThat(answer.elapsed_ms, testtools.matchers.LessThan(60))
        verify_session("search_straggler", driver.lines)

    def test_without_hedges_a_silent_straggler_is_late(self):
        driver = SearchSessionDriver(hedge_share=0)
        driver.reply_by_number[1] = SILENT
        self.assertEqual(1, driver.run().coverage.late)

    def test_lost_replica_costs_no_coverage(self):
        driver = SearchSessionDriver(make_section(services=3))
        driver.reply_by_number = {1: CUT_OFF, 2: CUT_OFF, 3: REFUSED}
        answer = driver.run()
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual([], driver.suspicions)
        verify_session("search_lost_replica", driver.lines)

    def test_without_retries_a_lost_replica_costs_coverage(self):
        self.patch(search, "has_attempts_left", lambda run: False)
        driver = SearchSessionDriver()
        driver.reply_by_number = {1: REFUSED}
        self.assertEqual(1, driver.run().coverage.not_sent)

    def test_index_swap_restarts_the_whole_query_once(self):
        driver = SearchSessionDriver()
        driver.reply_by_number = {2: Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)}
        swapped = make_section(snapshot_ids=(8,))
        driver.timers.call_later(0.008, lambda: setattr(driver, "section", swapped))
        answer = driver.run()
        self.assertEqual((ResultCode.OK, 8), (answer.code, answer.snapshot))
        verify_session("search_index_swap", driver.lines)

    def test_second_swap_labels_the_answer_partial(self):
        driver = SearchSessionDriver()
        gone = Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)
        driver.reply_by_number = {2: gone, 3: gone, 5: gone, 6: gone}
        for number, due_s in ((8, 0.005), (9, 0.015)):
            section = make_section(snapshot_ids=(number,))
            driver.timers.call_later(
                due_s, lambda section=section: setattr(driver, "section", section)
            )
        answer = driver.run()
        self.assertEqual((ResultCode.PARTIAL, 8), (answer.code, answer.snapshot))
        self.assertEqual(1, answer.coverage.answered)

    def test_without_a_restart_the_gone_shard_is_missing(self):
        self.patch(search, "has_newer_snapshot", lambda section, snapshot: False)
        driver = SearchSessionDriver(make_section(replicas=1))
        driver.reply_by_number = {2: Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)}
        driver.timers.call_later(
            0.008, lambda: setattr(driver, "section", make_section(snapshot_ids=(8,)))
        )
        self.assertEqual(ResultCode.PARTIAL, driver.run().code)

    def test_repartition_counts_the_new_map_and_keeps_each_record_once(self):
        driver = SearchSessionDriver(make_section(services=1))
        driver.reply_by_number = {1: Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)}
        driver.timers.call_later(0.005, lambda: _split_shard(driver))
        answer = driver.run()
        self.assertEqual((8, 2), (answer.snapshot, answer.coverage.answered))
        verify_session("search_repartition", driver.lines)

    def test_record_in_two_shards_is_answered_once(self):
        driver = SearchSessionDriver()
        session = _start(driver)
        for action in driver.sent:
            record = (Record("alarm-1", {}),)
            driver.deliver(
                session,
                LegResult(
                    action.leg.leg_id, ResultCode.OK, 7, action.leg.shard, record
                ),
            )
        self.assertEqual(1, len(driver.answers[0].records))

    def test_reply_of_another_snapshot_is_discarded(self):
        driver = SearchSessionDriver()
        driver.reply_by_number = {1: Reply(snapshot=6)}
        answer = driver.run()
        self.assertEqual((ResultCode.OK, 7), (answer.code, answer.snapshot))
        self.assertEqual(1, driver.session.discarded_by_reason["wrong_snapshot"])
        verify_session("search_wrong_snapshot", driver.lines)

    def test_without_the_check_snapshots_are_mixed(self):
        self.patch(
            search, "check_result", lambda *args: CheckedResult(ResultCode.OK, True)
        )
        driver = SearchSessionDriver()
        driver.reply_by_number = {1: Reply(snapshot=6)}
        self.assertEqual(ResultCode.OK, driver.run().code)
        self.assertEqual(2, len(driver.sent))

    def test_partial_at_the_deadline_names_the_late_shard(self):
        driver = SearchSessionDriver()
        driver.reply_by_number = {1: SILENT, 3: Reply(0.140, copies=2)}
        answer = driver.run()
        self.assertEqual(ResultCode.PARTIAL, answer.code)
        self.assertEqual("shard-0", answer.coverage.missing[0].shard)
        self.assertThat(answer.elapsed_ms, testtools.matchers.LessThan(160))
        self.assertThat(answer.retry_after_ms, testtools.matchers.GreaterThan(0))
        verify_session("search_partial_at_deadline", driver.lines)

    def test_draining_and_drained_upstreams_get_no_new_work(self):
        driver = SearchSessionDriver(make_section(drained=("s1-a",)))
        driver.reply_by_upstream["s0-a"] = Reply(0.002, ResultCode.LEG_DRAINING, False)
        for number in range(6):
            answer = driver.run(make_request(request_id=f"r-{number}"))
            self.assertEqual(ResultCode.OK, answer.code)
        used = [action.upstream_id for action in driver.sent]
        self.assertEqual((1, 0), (used.count("s0-a"), used.count("s1-a")))
        verify_session("search_drain", driver.lines)

    def test_without_the_drain_hint_new_work_goes_to_a_draining_upstream(self):
        self.patch(
            ReplicaChooser, "_prefer_eligible", lambda self, now, up: (up, "any")
        )
        driver = SearchSessionDriver()
        driver.reply_by_upstream["s0-a"] = Reply(0.002, ResultCode.LEG_DRAINING, False)
        for number in range(6):
            driver.run(make_request(request_id=f"r-{number}"))
        used = [action.upstream_id for action in driver.sent]
        self.assertThat(used.count("s0-a"), testtools.matchers.GreaterThan(1))

    def test_only_replica_works_while_it_drains(self):
        driver = SearchSessionDriver(make_section(services=1, replicas=1))
        report = LoadReport(0, 0, True, 1.0)
        driver.context.chooser.record_report(driver.timers.now(), "s0-a", report)
        self.assertEqual(ResultCode.OK, driver.run().code)

    def test_crashing_request_is_suspect_then_quarantined(self):
        driver = SearchSessionDriver()
        _crash_all(driver)
        for number in range(3):
            driver.run(make_request(request_id=f"r-{number}"))
        # Two legs are sent at first; the probe that follows is the second crash.
        self.assertEqual(3, len({action.upstream_id for action in driver.sent}))
        self.assertEqual(ResultCode.PARTIAL, driver.answers[0].code)
        for answer in driver.answers[1:]:
            self.assertEqual(ResultCode.NOT_RUN_QUARANTINED, answer.code)
            self.assertThat(answer.retry_after_ms, testtools.matchers.GreaterThan(5e5))
        verify_session("search_crashing_request", driver.lines)

    def test_suspect_that_crashes_another_upstream_is_quarantined(self):
        driver = SearchSessionDriver(make_section(replicas=1))
        _crash_all(driver)
        codes = [driver.run(make_request(request_id=f"r-{n}")).code for n in range(3)]
        refused = ResultCode.NOT_RUN_QUARANTINED
        self.assertEqual([ResultCode.PARTIAL, ResultCode.PARTIAL, refused], codes)
        verify_session("search_suspect_request", driver.lines)

    def test_without_quarantine_a_crashing_request_takes_all_replicas(self):
        self.patch(Quarantine, "state_of", lambda *args: QuarantineState.CLEAR)
        self.patch(CrashTracker, "needs_probe", lambda self, run: False)
        driver = SearchSessionDriver()
        _crash_all(driver)
        driver.run()
        self.assertEqual(6, len({action.upstream_id for action in driver.sent}))

    def test_suspect_begins_on_one_upstream_and_is_cleared(self):
        driver = SearchSessionDriver(make_section(services=7))
        fingerprint = search.compute_fingerprint(make_request())
        now_ms = int(driver.timers.wall_time() * 1000)
        driver.context.quarantine.record_cut_off(now_ms, fingerprint, "s9-a")
        answer = driver.run()
        self.assertEqual((ResultCode.OK, 7), (answer.code, len(driver.sent)))
        # One leg is sent first, then two, then the other four, each after an answer.
        self.assertThat(answer.elapsed_ms, testtools.matchers.GreaterThan(17))
        self.assertTrue(all(action.is_exclusive for action in driver.sent))
        events = [line.split()[1] for line in driver.lines]
        self.assertEqual(1, events.index("event=leg.result"))
        state = driver.context.quarantine.state_of(now_ms, fingerprint)
        self.assertEqual(QuarantineState.CLEAR, state)


class SearchInvariantTests(testtools.TestCase):
    def test_non_idempotent_is_sent_once_whatever_happens(self):
        for code in (ResultCode.LEG_TIMEOUT, ResultCode.LEG_CUT_OFF):
            driver = SearchSessionDriver()
            driver.reply_by_number = {1: Reply(0.01, code)}
            self.assertEqual(ResultCode.OUTCOME_UNKNOWN, driver.run(BOOKING).code)
            self.assertEqual(1, len(driver.sent))

    def test_non_idempotent_at_the_deadline_is_unknown_and_not_cancelled(self):
        driver = SearchSessionDriver()
        driver.reply_by_number = {1: SILENT}
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, driver.run(BOOKING).code)
        self.assertEqual((1, 0), (len(driver.sent), len(driver.cancelled)))

    def test_non_idempotent_that_was_not_run_moves(self):
        driver = SearchSessionDriver()
        shed = Reply(0.001, ResultCode.LEG_SHED, was_run=False)
        driver.reply_by_number = {1: shed}
        self.assertEqual(ResultCode.OK, driver.run(BOOKING).code)
        self.assertEqual(2, len(driver.sent))

    def test_non_idempotent_is_not_sent_after_its_lease(self):
        driver = SearchSessionDriver()
        answer = driver.run(BOOKING, send_before=99.0)
        self.assertEqual(ResultCode.NOT_RUN_NO_UPSTREAM, answer.code)
        self.assertEqual(0, len(driver.sent))

    def test_shed_everywhere_is_not_run_at_once(self):
        driver = SearchSessionDriver()
        shed = Reply(0.001, ResultCode.LEG_SHED, was_run=False)
        driver.reply_by_number = dict.fromkeys(range(1, 9), shed)
        answer = driver.run()
        self.assertEqual(ResultCode.NOT_RUN_OVERLOADED, answer.code)
        self.assertThat(answer.elapsed_ms, testtools.matchers.LessThan(10))
        self.assertEqual((0, 2), (answer.snapshot, answer.coverage.not_sent))

    def test_restart_that_reaches_no_upstream_is_not_reported_as_not_run(self):
        driver = SearchSessionDriver()
        gone = Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)
        driver.reply_by_number = {2: gone} | dict.fromkeys(range(3, 9), REFUSED)
        swapped = make_section(snapshot_ids=(8,))
        driver.timers.call_later(0.008, lambda: setattr(driver, "section", swapped))
        self.assertEqual(ResultCode.PARTIAL, driver.run().code)

    def test_search_that_waited_past_its_deadline_is_refused_as_overload(self):
        driver = SearchSessionDriver()
        now = driver.timers.now()
        for waited_s, code in (
            (2.0, ResultCode.NOT_RUN_OVERLOADED),
            (0.0, ResultCode.OK),
        ):
            session = make_session(
                driver.context,
                make_request(deadline_ms=1000),
                lambda: driver.section,
                4,
                now - waited_s,
                driver.timers.wall_time() - waited_s,
            )
            driver.execute(session, session.start(driver.timers.now()))
            driver.timers.advance(0.5)
            now = driver.timers.now()
            self.assertEqual(code, driver.answers[-1].code)

    def test_miscounted_coverage_is_an_internal_error(self):
        self.patch(answers, "count_coverage", lambda runs: NO_COVERAGE)
        answer = SearchSessionDriver().run()
        self.assertEqual((ResultCode.INTERNAL, ()), (answer.code, answer.records))

    def test_refusals_name_the_unknown_service_or_shard(self):
        driver = SearchSessionDriver()
        answer = driver.run(make_request(services=("nowhere",)))
        self.assertEqual(ResultCode.SERVICE_UNKNOWN, answer.code)
        self.assertIn("nowhere", answer.message)
        answer = driver.run(BOOKING._replace(shard="shard-9"))
        self.assertEqual(ResultCode.SHARD_UNKNOWN, answer.code)

    def test_foreign_results_are_counted_by_reason(self):
        driver = SearchSessionDriver()
        session = _start(driver)
        leg = driver.sent[0].leg
        driver.deliver(session, LegResult("i-9.1.1", ResultCode.OK, 7, leg.shard))
        driver.deliver(session, LegResult(leg.leg_id, ResultCode.OK, 7, "shard-1"))
        driver.deliver(session, LegResult(leg.leg_id, ResultCode.OK, 7, leg.shard))
        counted = {"unknown_leg": 1, "wrong_shard": 1, "duplicate": 1}
        self.assertEqual(counted, dict(session.discarded_by_reason))

    def test_rejoined_instance_keeps_its_state_but_not_its_leg_ids(self):
        driver = SearchSessionDriver()
        driver.run()
        first = driver.sent[0].leg.leg_id
        driver.context = renew_context(driver.context, "i-1", 4)
        driver.run()
        self.assertNotEqual(first, driver.sent[2].leg.leg_id)
        self.assertEqual(4, driver.context.budget.counts.first)

    def test_chooser_has_no_legs_in_flight_after_the_answer(self):
        driver = SearchSessionDriver()
        driver.reply_by_number = {1: SILENT, 2: REFUSED, 3: Reply(copies=2)}
        driver.run()
        for upstream_id in driver.section.upstreams_by_id:
            self.assertEqual(0, driver.context.chooser.in_flight(upstream_id))

    def test_extra_legs_stay_within_the_budget(self):
        driver = _run_slow(200)
        counts = driver.context.budget.counts
        self.assertThat(counts.extra, testtools.matchers.LessThan(31))
        self.assertThat(counts.denied, testtools.matchers.GreaterThan(0))

    def test_no_replica_is_chosen_for_a_hedge_that_the_budget_refuses(self):
        driver = SearchSessionDriver(hedge_share=0.0)
        session = _start(driver)
        self.patch(driver.context.chooser, "choose", self.fail)
        for _ in range(2):
            session.on_timer(session.next_timer_at)
        self.assertEqual(4, driver.context.budget.counts.denied)

    def test_without_the_budget_extra_legs_exceed_the_share(self):
        self.patch(ExtraLegBudget, "_allows", lambda self, *args: True)
        driver = _run_slow(200)
        self.assertThat(len(driver.sent), testtools.matchers.GreaterThan(450))


def _start(driver):
    """Start a request whose legs are answered by the test."""
    driver.reply_by_number = dict.fromkeys(range(1, 100), SILENT)
    driver.run(until_s=0.001)
    return driver.session


def _run_slow(requests):
    """Run requests with one slow leg each, one request every 160 ms."""
    driver = SearchSessionDriver()
    for number in range(requests):
        driver.reply_by_number[len(driver.sent) + 1] = Reply(0.140)
        driver.run(make_request(request_id=f"r-{number}"), until_s=0.16)
    return driver


def _crash_all(driver):
    for upstream_id in driver.section.upstreams_by_id:
        driver.reply_by_upstream[upstream_id] = CUT_OFF


def _split_shard(driver):
    section = driver.section
    shard = section.snapshots_by_id[7].shards_by_id["shard-0"]
    halves = {
        name: Shard(name, shard.service_id, shard.replicas)
        for name in ("shard-0-low", "shard-0-high")
    }
    driver.section = section._replace(snapshots_by_id={8: Snapshot(8, halves)})
