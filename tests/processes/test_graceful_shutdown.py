"""Tests that a graceful shutdown loses no request; a second signal logs lost ones."""

from __future__ import annotations

import concurrent.futures
import signal

from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.launcher import SHUTDOWN_TIMEOUT_S
from tests.processes.caller import (
    NO_ANSWER,
    Load,
    make_booking,
    make_search,
    post,
)
from tests.processes.checks import duplicate_bookings, journal_entries, wrong_answers
from tests.processes.support import TEAM, ClusterTestCase, read_log, wait_until

INTERRUPTED_EXIT_CODE = 54
NOT_RUN_LEAVING = 202
LEG_DELAY_MS = 40.0
ANSWERS_PER_PHASE = 20
CALLER_COUNT = 12
# One request of this many is a booking.
BOOKING_INTERVAL = 4


def make_search_or_booking(number):
    if number % BOOKING_INTERVAL == 0:
        return make_booking(f"{TEAM}-01/{number % 3}")
    return make_search(number)


def stop_each_under_load(cluster, names):
    """Stop and restart instances in turn under load.

    Returns:
        The exit codes, and the load.
    """
    slow = Fault(FaultKind.SLOW, delay_ms=LEG_DELAY_MS)
    cluster.searcher_controls()[0].set_faults([slow])
    codes = []
    with Load(cluster, make_search_or_booking) as load:
        for name in names:
            load.wait_for_more(ANSWERS_PER_PHASE)
            codes.append(cluster.terminate(name))
            cluster.restart(name)
    return codes, load


def stop_without_list_update(cluster, name):
    """Stop an instance while the platform's list shows no leave; return the load."""
    with Load(cluster, caller_count=CALLER_COUNT) as load:
        load.wait_for_more(ANSWERS_PER_PHASE)
        cluster.child(name).terminate()
        # It may wait for successors, and it releases its shares one bucket at a time.
        assert cluster.child(name).wait(SHUTDOWN_TIMEOUT_S) == 0
        load.wait_for_more(ANSWERS_PER_PHASE)
    return load


def failed_attempts(load):
    """Return a description of each attempt that failed, also if it was refused."""
    return [
        f"{attempt.request['request_id']}: {attempt.code} at {attempt.address}:"
        f" {attempt.answer.get('message')} {attempt.answer.get('coverage')}"
        for attempt in load.all_attempts()
        if attempt.code != 0
    ]


class GracefulShutdownTests(ClusterTestCase):
    def test_rolling_restart_under_load(self):
        codes, load = stop_each_under_load(self.cluster, self.cluster.instances_by_name)
        self.assertEqual([0, 0, 0], codes)
        self.assertEqual([], failed_attempts(load))
        searches = [a for a in load.final_attempts if a.request.get("idempotent", True)]
        self.assertEqual(
            [], wrong_answers(self.cluster, searches, require_complete=True)
        )
        self.assertEqual([], duplicate_bookings(self.cluster))

    def test_leave_that_only_peers_are_notified_of(self):
        name = list(self.cluster.instances_by_name)[1]
        load = stop_without_list_update(self.cluster, name)
        self.cluster.restart(name)
        self.assertEqual([], failed_attempts(load))
        self.assertEqual(
            [], wrong_answers(self.cluster, load.final_attempts, require_complete=True)
        )

    def test_late_request_that_cannot_finish_is_refused(self):
        name, instance = list(self.cluster.instances_by_name.items())[0]
        self.cluster.wait_ready(name)
        slow = Fault(FaultKind.SLOW, delay_ms=40_000.0)
        self.cluster.searcher_controls()[0].set_faults([slow])
        begun = self.count_begun_shutdowns(name)
        child = self.cluster.child(name)
        child.send_signal(signal.SIGTERM)
        wait_until(
            lambda: self.count_begun_shutdowns(name) > begun, "the shutdown has begun"
        )
        search = {**make_search(0), "deadline_ms": 60_000}
        attempt = post(instance.caller_address, search)
        self.assertEqual(NOT_RUN_LEAVING, attempt.code, attempt.answer)
        self.assertEqual(0, child.wait(SHUTDOWN_TIMEOUT_S))
        self.clear_faults()
        self.cluster.restart(name)

    def count_begun_shutdowns(self, name):
        return read_log(self.cluster, name).count("event=stop.begin")

    def test_second_signal_logs_the_lost_requests(self):
        name, instance = list(self.cluster.instances_by_name.items())[-1]
        self.cluster.wait_ready(name)
        slow = Fault(FaultKind.SLOW, delay_ms=8000.0)
        self.cluster.searcher_controls()[0].set_faults([slow])
        search = make_search(0)
        search["deadline_ms"] = 10_000
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            future = pool.submit(post, instance.caller_address, search)
            wait_until(lambda: self.has_run(search), "a searcher runs the search")
            child = self.cluster.child(name)
            child.send_signal(signal.SIGTERM)
            wait_until(
                lambda: "event=stop.begin" in read_log(self.cluster, name),
                "the shutdown has begun",
            )
            child.send_signal(signal.SIGTERM)
            self.assertEqual(INTERRUPTED_EXIT_CODE, child.wait())
            self.assertEqual(NO_ANSWER, future.result().code)
        lines = read_log(self.cluster, name).splitlines()
        cut_off_lines = [line for line in lines if "event=stop.cut_off" in line]
        self.assertIn(search["request_id"], cut_off_lines[-1])
        self.clear_faults()
        self.cluster.restart(name)

    def has_run(self, search):
        ids = {entry["request_id"] for entry in journal_entries(self.cluster)}
        return search["request_id"] in ids


class HastyStopTests(ClusterTestCase):
    variant = "hasty_stop"

    def test_lost_requests_are_found(self):
        name = next(iter(self.cluster.instances_by_name))
        _, load = stop_each_under_load(self.cluster, [name])
        self.assertNotEqual([], failed_attempts(load))


class SilentLeaveTests(ClusterTestCase):
    variant = "silent_leave"

    def test_callers_sent_to_a_leaving_instance_are_found(self):
        name = list(self.cluster.instances_by_name)[1]
        load = stop_without_list_update(self.cluster, name)
        self.assertNotEqual([], failed_attempts(load))
