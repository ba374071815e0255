from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.search import answers, search
from almondspool.coordination.search.crash_tracker import CrashTracker
from almondspool.coordination.search.quarantine import Quarantine, QuarantineState
from almondspool.coordination.search.search_context import renew_context
from almondspool.coordination.search.shard_run import CheckedResult
from almondspool.coordination.upstreams.budget import ExtraLegBudget
from almondspool.coordination.upstreams.replicas import ReplicaChooser
from almondspool.protocol.caller import NO_COVERAGE, Record
from almondspool.protocol.upstream import LegResult, LoadReport
from almondspool.state.document import Shard, Snapshot
from tests.coordination.search_bench import (
    SILENT,
    Reply,
    SearchBench,
    make_request,
    make_section,
)
from tests.golden_session import verify_session

BOOKING = make_request(idempotent=False, shard="shard-0", issued_at_ms=1)
REFUSED = Reply(0.001, ResultCode.LEG_REFUSED, was_run=False)
CUT_OFF = Reply(0.002, ResultCode.LEG_CUT_OFF)


class SearchSessionTests(testtools.TestCase):
    def test_complete_answer(self):
        bench = SearchBench()
        answer = bench.run()
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual((7, 2), (answer.snapshot, answer.coverage.answered))
        verify_session("search_all_well", bench.lines)

    def test_straggler_is_hedged_and_the_slower_leg_cancelled(self):
        bench = SearchBench()
        bench.reply_by_number[1] = Reply(0.120)
        answer = bench.run()
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual(3, len(bench.sent))
        self.assertEqual(bench.sent[0].leg.leg_id, bench.cancelled[0].leg_id)
        self.assertThat(answer.elapsed_ms, testtools.matchers.LessThan(60))
        verify_session("search_straggler", bench.lines)

    def test_without_hedges_a_silent_straggler_is_late(self):
        bench = SearchBench(hedge_share=0)
        bench.reply_by_number[1] = SILENT
        self.assertEqual(1, bench.run().coverage.late)

    def test_lost_replica_costs_no_coverage(self):
        bench = SearchBench(make_section(services=3))
        bench.reply_by_number = {1: CUT_OFF, 2: CUT_OFF, 3: REFUSED}
        answer = bench.run()
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual([], bench.suspicions)
        verify_session("search_lost_replica", bench.lines)

    def test_without_retries_a_lost_replica_costs_coverage(self):
        self.patch(search, "has_attempts_left", lambda run: False)
        bench = SearchBench()
        bench.reply_by_number = {1: REFUSED}
        self.assertEqual(1, bench.run().coverage.not_sent)

    def test_index_swap_restarts_the_whole_query_once(self):
        bench = SearchBench()
        bench.reply_by_number = {2: Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)}
        swapped = make_section(snapshot_ids=(8,))
        bench.timers.call_later(0.008, lambda: setattr(bench, "section", swapped))
        answer = bench.run()
        self.assertEqual((ResultCode.OK, 8), (answer.code, answer.snapshot))
        verify_session("search_index_swap", bench.lines)

    def test_second_swap_labels_the_answer_partial(self):
        bench = SearchBench()
        gone = Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)
        bench.reply_by_number = {2: gone, 3: gone, 5: gone, 6: gone}
        for number, due_s in ((8, 0.005), (9, 0.015)):
            section = make_section(snapshot_ids=(number,))
            bench.timers.call_later(
                due_s, lambda section=section: setattr(bench, "section", section)
            )
        answer = bench.run()
        self.assertEqual((ResultCode.PARTIAL, 8), (answer.code, answer.snapshot))
        self.assertEqual(1, answer.coverage.answered)

    def test_without_a_restart_the_gone_shard_is_missing(self):
        self.patch(search, "has_newer_snapshot", lambda section, snapshot: False)
        bench = SearchBench(make_section(replicas=1))
        bench.reply_by_number = {2: Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)}
        bench.timers.call_later(
            0.008, lambda: setattr(bench, "section", make_section(snapshot_ids=(8,)))
        )
        self.assertEqual(ResultCode.PARTIAL, bench.run().code)

    def test_repartition_counts_the_new_map_and_keeps_each_record_once(self):
        bench = SearchBench(make_section(services=1))
        bench.reply_by_number = {1: Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)}
        bench.timers.call_later(0.005, lambda: _split_shard(bench))
        answer = bench.run()
        self.assertEqual((8, 2), (answer.snapshot, answer.coverage.answered))
        verify_session("search_repartition", bench.lines)

    def test_record_in_two_shards_is_answered_once(self):
        bench = SearchBench()
        session = _start(bench)
        for action in bench.sent:
            record = (Record("alarm-1", {}),)
            bench.deliver(
                session,
                LegResult(
                    action.leg.leg_id, ResultCode.OK, 7, action.leg.shard, record
                ),
            )
        self.assertEqual(1, len(bench.answers[0].records))

    def test_reply_of_another_snapshot_is_discarded(self):
        bench = SearchBench()
        bench.reply_by_number = {1: Reply(snapshot=6)}
        answer = bench.run()
        self.assertEqual((ResultCode.OK, 7), (answer.code, answer.snapshot))
        self.assertEqual(1, bench.session.discarded_by_reason["wrong_snapshot"])
        verify_session("search_wrong_snapshot", bench.lines)

    def test_without_the_check_snapshots_are_mixed(self):
        self.patch(
            search, "check_result", lambda *args: CheckedResult(ResultCode.OK, True)
        )
        bench = SearchBench()
        bench.reply_by_number = {1: Reply(snapshot=6)}
        self.assertEqual(ResultCode.OK, bench.run().code)
        self.assertEqual(2, len(bench.sent))

    def test_partial_at_the_deadline_names_the_late_shard(self):
        bench = SearchBench()
        bench.reply_by_number = {1: SILENT, 3: Reply(0.140, copies=2)}
        answer = bench.run()
        self.assertEqual(ResultCode.PARTIAL, answer.code)
        self.assertEqual("shard-0", answer.coverage.missing[0].shard)
        self.assertThat(answer.elapsed_ms, testtools.matchers.LessThan(160))
        self.assertThat(answer.retry_after_ms, testtools.matchers.GreaterThan(0))
        verify_session("search_partial_at_deadline", bench.lines)

    def test_draining_and_drained_upstreams_get_no_new_work(self):
        bench = SearchBench(make_section(drained=("s1-a",)))
        bench.reply_by_upstream["s0-a"] = Reply(0.002, ResultCode.LEG_DRAINING, False)
        for number in range(6):
            answer = bench.run(make_request(request_id=f"r-{number}"))
            self.assertEqual(ResultCode.OK, answer.code)
        used = [action.upstream_id for action in bench.sent]
        self.assertEqual((1, 0), (used.count("s0-a"), used.count("s1-a")))
        verify_session("search_drain", bench.lines)

    def test_without_the_drain_hint_new_work_goes_to_a_draining_upstream(self):
        self.patch(
            ReplicaChooser, "_prefer_eligible", lambda self, now, up: (up, "any")
        )
        bench = SearchBench()
        bench.reply_by_upstream["s0-a"] = Reply(0.002, ResultCode.LEG_DRAINING, False)
        for number in range(6):
            bench.run(make_request(request_id=f"r-{number}"))
        used = [action.upstream_id for action in bench.sent]
        self.assertThat(used.count("s0-a"), testtools.matchers.GreaterThan(1))

    def test_only_replica_works_while_it_drains(self):
        bench = SearchBench(make_section(services=1, replicas=1))
        report = LoadReport(0, 0, True, 1.0)
        bench.context.chooser.record_report(bench.timers.now(), "s0-a", report)
        self.assertEqual(ResultCode.OK, bench.run().code)

    def test_crashing_request_is_suspect_then_quarantined(self):
        bench = SearchBench()
        _crash_all(bench)
        for number in range(3):
            bench.run(make_request(request_id=f"r-{number}"))
        # Two legs are sent at first; the probe that follows is the second crash.
        self.assertEqual(3, len({action.upstream_id for action in bench.sent}))
        self.assertEqual(ResultCode.PARTIAL, bench.answers[0].code)
        for answer in bench.answers[1:]:
            self.assertEqual(ResultCode.NOT_RUN_QUARANTINED, answer.code)
            self.assertThat(answer.retry_after_ms, testtools.matchers.GreaterThan(5e5))
        verify_session("search_crashing_request", bench.lines)

    def test_suspect_that_crashes_another_upstream_is_quarantined(self):
        bench = SearchBench(make_section(replicas=1))
        _crash_all(bench)
        codes = [bench.run(make_request(request_id=f"r-{n}")).code for n in range(3)]
        refused = ResultCode.NOT_RUN_QUARANTINED
        self.assertEqual([ResultCode.PARTIAL, ResultCode.PARTIAL, refused], codes)
        verify_session("search_suspect_request", bench.lines)

    def test_without_quarantine_a_crashing_request_takes_all_replicas(self):
        self.patch(Quarantine, "state_of", lambda *args: QuarantineState.CLEAR)
        self.patch(CrashTracker, "needs_probe", lambda self, run: False)
        bench = SearchBench()
        _crash_all(bench)
        bench.run()
        self.assertEqual(6, len({action.upstream_id for action in bench.sent}))

    def test_suspect_begins_on_one_upstream_and_is_cleared(self):
        bench = SearchBench(make_section(services=7))
        fingerprint = search.compute_fingerprint(make_request())
        now_ms = int(bench.timers.wall_time() * 1000)
        bench.context.quarantine.record_cut_off(now_ms, fingerprint, "s9-a")
        answer = bench.run()
        self.assertEqual((ResultCode.OK, 7), (answer.code, len(bench.sent)))
        # One leg is sent first, then two, then the other four, each after an answer.
        self.assertThat(answer.elapsed_ms, testtools.matchers.GreaterThan(17))
        self.assertTrue(all(action.is_exclusive for action in bench.sent))
        events = [line.split()[1] for line in bench.lines]
        self.assertEqual(1, events.index("event=leg.result"))
        state = bench.context.quarantine.state_of(now_ms, fingerprint)
        self.assertEqual(QuarantineState.CLEAR, state)


class SearchInvariantTests(testtools.TestCase):
    def test_non_idempotent_is_sent_once_whatever_happens(self):
        for code in (ResultCode.LEG_TIMEOUT, ResultCode.LEG_CUT_OFF):
            bench = SearchBench()
            bench.reply_by_number = {1: Reply(0.01, code)}
            self.assertEqual(ResultCode.OUTCOME_UNKNOWN, bench.run(BOOKING).code)
            self.assertEqual(1, len(bench.sent))

    def test_non_idempotent_at_the_deadline_is_unknown_and_not_cancelled(self):
        bench = SearchBench()
        bench.reply_by_number = {1: SILENT}
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, bench.run(BOOKING).code)
        self.assertEqual((1, 0), (len(bench.sent), len(bench.cancelled)))

    def test_non_idempotent_that_was_not_run_moves(self):
        bench = SearchBench()
        shed = Reply(0.001, ResultCode.LEG_SHED, was_run=False)
        bench.reply_by_number = {1: shed}
        self.assertEqual(ResultCode.OK, bench.run(BOOKING).code)
        self.assertEqual(2, len(bench.sent))

    def test_non_idempotent_is_not_sent_after_its_lease(self):
        bench = SearchBench()
        answer = bench.run(BOOKING, send_before=99.0)
        self.assertEqual(ResultCode.NOT_RUN_NO_UPSTREAM, answer.code)
        self.assertEqual(0, len(bench.sent))

    def test_shed_everywhere_is_not_run_at_once(self):
        bench = SearchBench()
        shed = Reply(0.001, ResultCode.LEG_SHED, was_run=False)
        bench.reply_by_number = dict.fromkeys(range(1, 9), shed)
        answer = bench.run()
        self.assertEqual(ResultCode.NOT_RUN_OVERLOADED, answer.code)
        self.assertThat(answer.elapsed_ms, testtools.matchers.LessThan(10))
        self.assertEqual((0, 2), (answer.snapshot, answer.coverage.not_sent))

    def test_restart_that_reaches_no_upstream_is_not_reported_as_not_run(self):
        bench = SearchBench()
        gone = Reply(0.010, ResultCode.LEG_SNAPSHOT_GONE, False)
        bench.reply_by_number = {2: gone} | dict.fromkeys(range(3, 9), REFUSED)
        swapped = make_section(snapshot_ids=(8,))
        bench.timers.call_later(0.008, lambda: setattr(bench, "section", swapped))
        self.assertEqual(ResultCode.PARTIAL, bench.run().code)

    def test_miscounted_coverage_is_an_internal_error(self):
        self.patch(answers, "count_coverage", lambda runs: NO_COVERAGE)
        answer = SearchBench().run()
        self.assertEqual((ResultCode.INTERNAL, ()), (answer.code, answer.records))

    def test_refusals_name_the_unknown_service_or_shard(self):
        bench = SearchBench()
        answer = bench.run(make_request(services=("nowhere",)))
        self.assertEqual(ResultCode.SERVICE_UNKNOWN, answer.code)
        self.assertIn("nowhere", answer.message)
        answer = bench.run(BOOKING._replace(shard="shard-9"))
        self.assertEqual(ResultCode.SHARD_UNKNOWN, answer.code)

    def test_foreign_results_are_counted_by_reason(self):
        bench = SearchBench()
        session = _start(bench)
        leg = bench.sent[0].leg
        bench.deliver(session, LegResult("i-9.1.1", ResultCode.OK, 7, leg.shard))
        bench.deliver(session, LegResult(leg.leg_id, ResultCode.OK, 7, "shard-1"))
        bench.deliver(session, LegResult(leg.leg_id, ResultCode.OK, 7, leg.shard))
        counted = {"unknown_leg": 1, "wrong_shard": 1, "duplicate": 1}
        self.assertEqual(counted, dict(session.discarded_by_reason))

    def test_rejoined_instance_keeps_its_state_but_not_its_leg_ids(self):
        bench = SearchBench()
        bench.run()
        first = bench.sent[0].leg.leg_id
        bench.context = renew_context(bench.context, "i-1", 4)
        bench.run()
        self.assertNotEqual(first, bench.sent[2].leg.leg_id)
        self.assertEqual(4, bench.context.budget.counts.first)

    def test_chooser_has_no_legs_in_flight_after_the_answer(self):
        bench = SearchBench()
        bench.reply_by_number = {1: SILENT, 2: REFUSED, 3: Reply(copies=2)}
        bench.run()
        for upstream_id in bench.section.upstreams_by_id:
            self.assertEqual(0, bench.context.chooser.in_flight(upstream_id))

    def test_extra_legs_stay_within_the_budget(self):
        bench = _run_slow(200)
        counts = bench.context.budget.counts
        self.assertThat(counts.extra, testtools.matchers.LessThan(31))
        self.assertThat(counts.denied, testtools.matchers.GreaterThan(0))

    def test_no_replica_is_chosen_for_a_hedge_that_the_budget_refuses(self):
        bench = SearchBench(hedge_share=0.0)
        session = _start(bench)
        self.patch(bench.context.chooser, "choose", self.fail)
        for _ in range(2):
            session.on_timer(session.next_timer_at)
        self.assertEqual(4, bench.context.budget.counts.denied)

    def test_without_the_budget_extra_legs_exceed_the_share(self):
        self.patch(ExtraLegBudget, "_allows", lambda self, *args: True)
        bench = _run_slow(200)
        self.assertThat(len(bench.sent), testtools.matchers.GreaterThan(450))


def _start(bench):
    """Start a request whose legs are answered by the test."""
    bench.reply_by_number = dict.fromkeys(range(1, 100), SILENT)
    bench.run(until_s=0.001)
    return bench.session


def _run_slow(requests):
    """Run requests with one slow leg each, one request every 160 ms."""
    bench = SearchBench()
    for number in range(requests):
        bench.reply_by_number[len(bench.sent) + 1] = Reply(0.140)
        bench.run(make_request(request_id=f"r-{number}"), until_s=0.16)
    return bench


def _crash_all(bench):
    for upstream_id in bench.section.upstreams_by_id:
        bench.reply_by_upstream[upstream_id] = CUT_OFF


def _split_shard(bench):
    section = bench.section
    shard = section.snapshots_by_id[7].shards_by_id["shard-0"]
    halves = {
        name: Shard(name, shard.service_id, shard.replicas)
        for name in ("shard-0-low", "shard-0-high")
    }
    bench.section = section._replace(snapshots_by_id={8: Snapshot(8, halves)})
