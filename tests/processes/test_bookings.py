"""Tests that bookings run at most once, and never after a "not run" answer."""

from __future__ import annotations

import concurrent.futures

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Caller, make_booking, post, post_concurrently
from tests.processes.checks import (
    duplicate_bookings,
    journal_entries,
    requests_run_despite_refusal,
)
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    caller_addresses,
    is_dead,
    wait_until,
)

SHARD = f"{TEAM}-01/0"
SHARDS = tuple(
    f"{TEAM}-0{service}/{shard}" for service in (1, 2) for shard in (0, 1, 2)
)
CLAIM_KIND = "claims"
BOOKING_COUNT = 12
OUTAGE_BOOKING_COUNT = 4
DEADLINE_MS = 4000
BOOKING_DELAY_MS = 1500.0
# Much longer than it takes to kill the searcher; the kill ends the wait for a reply.
CRASH_DELAY_MS = 8000.0
CRASH_DEADLINE_MS = 12_000
STILL_RUNNING = 303
OUTCOME_UNKNOWN = 302
NOT_RUN_PLATFORM_DOWN = 204


def send_to_all_concurrently(cluster, booking_count=BOOKING_COUNT):
    """Send each of several bookings to all instances concurrently.

    Returns:
        The attempts, one for each booking and instance.
    """
    addresses = caller_addresses(cluster)
    attempts = []
    for number in range(booking_count):
        booking = make_booking(SHARDS[number % len(SHARDS)])
        attempts += post_concurrently(addresses, [booking])
    return attempts


def book_during_outage(cluster):
    """Send bookings to every instance during a platform outage; return the attempts."""
    cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
    try:
        return send_to_all_concurrently(cluster, OUTAGE_BOOKING_COUNT)
    finally:
        cluster.platform.clear_faults()


def book_with_lost_replies(cluster, booking_count=BOOKING_COUNT):
    """Send bookings, each to two instances, while searchers run them without replies.

    Returns:
        The attempts.
    """
    drop_reply = Fault(FaultKind.DROP_REPLY_AFTER_EFFECT)
    cluster.searcher_controls()[0].set_faults([drop_reply])
    addresses = caller_addresses(cluster)
    attempts = []
    for number in range(booking_count):
        booking = make_booking(SHARDS[number % len(SHARDS)])
        for address in addresses[:2]:
            attempts.append(post(address, booking))
    return attempts


class BookingTests(ClusterTestCase):
    # Long, as count_puts would include the writes of the fleet status.
    settings = {"status_interval_s": 60.0}

    def setUp(self):
        super().setUp()
        self.pool = self.enterContext(concurrent.futures.ThreadPoolExecutor(8))
        self.addCleanup(self.assert_no_violations)
        self.attempts = []
        for address in caller_addresses(self.cluster):
            self.wait_for_recovery(address)

    def wait_for_recovery(self, address):
        """Wait until an instance has recovered from the faults of an earlier test."""

        def accepts_bookings():
            return post(address, make_booking(SHARD)).code == 0

        wait_until(accepts_bookings, f"{address} accepts bookings")

    def assert_no_violations(self):
        self.assertEqual([], duplicate_bookings(self.cluster))
        self.assertEqual([], requests_run_despite_refusal(self.cluster, self.attempts))

    def set_searcher_fault(self, kind, **parameters):
        self.cluster.searcher_controls()[0].set_faults([Fault(kind, **parameters)])

    def send(self, address, booking):
        attempt = post(address, booking)
        self.attempts.append(attempt)
        return attempt

    def runs_of(self, booking):
        request_id = booking["request_id"]
        return [
            entry
            for entry in journal_entries(self.cluster)
            if entry["request_id"] == request_id
        ]

    def resend_until_settled(self, booking):
        """Resend a booking while it is still running; return the last attempt."""
        caller = Caller(self.cluster)

        def settled_attempt():
            attempt = caller.send(booking)
            return attempt if attempt.code != STILL_RUNNING else None

        attempt = wait_until(
            settled_attempt, f"{booking['request_id']} has a final result code"
        )
        self.attempts += caller.attempts
        return attempt

    def start_slow_booking(
        self, name, delay_ms=BOOKING_DELAY_MS, deadline_ms=DEADLINE_MS
    ):
        """Send a booking to an instance and return once a searcher runs it."""
        self.set_searcher_fault(FaultKind.SLOW, delay_ms=delay_ms)
        booking = make_booking(SHARD, deadline_ms=deadline_ms)
        address = self.cluster.instances_by_name[name].caller_address
        future = self.pool.submit(self.send, address, booking)
        wait_until(lambda: self.runs_of(booking), "a searcher runs the booking")
        return booking, future

    def test_same_id_sent_to_all_concurrently(self):
        self.attempts = send_to_all_concurrently(self.cluster)
        ids = {attempt.request["request_id"] for attempt in self.attempts}
        self.assertEqual(ids, ids & self.cluster.bookings_by_request_id().keys())

    def test_platform_reply_lost_after_effect(self):
        drop_reply = Fault(FaultKind.DROP_REPLY_AFTER_EFFECT, CLAIM_KIND, share=0.5)
        self.cluster.platform.set_faults([drop_reply])
        for number in range(BOOKING_COUNT):
            booking = make_booking(SHARDS[number % len(SHARDS)])
            self.assertEqual(0, self.resend_until_settled(booking).code)
            self.assertEqual(1, len(self.runs_of(booking)))

    def test_searcher_reply_lost_after_effect(self):
        self.attempts = book_with_lost_replies(self.cluster)
        codes = {attempt.code for attempt in self.attempts}
        self.assertEqual({OUTCOME_UNKNOWN}, codes - {STILL_RUNNING})

    def test_platform_outage(self):
        self.attempts = book_during_outage(self.cluster)
        codes = {attempt.code for attempt in self.attempts}
        self.assertEqual({NOT_RUN_PLATFORM_DOWN}, codes)
        self.assert_no_violations()
        bookings_by_id = {
            attempt.request["request_id"]: attempt.request for attempt in self.attempts
        }
        for booking in bookings_by_id.values():
            self.assertEqual(0, self.resend_until_settled(booking).code)
            self.assertEqual(1, len(self.runs_of(booking)))

    def test_searcher_crashes_during_a_booking(self):
        name = next(iter(self.cluster.instances_by_name))
        booking, future = self.start_slow_booking(
            name, CRASH_DELAY_MS, CRASH_DEADLINE_MS
        )
        upstream_id = self.runs_of(booking)[0]["upstream_id"]
        self.cluster.kill_searcher(upstream_id)
        self.addCleanup(self.cluster.restart_searcher, upstream_id)
        self.assertEqual(OUTCOME_UNKNOWN, future.result().code)
        self.assertEqual(OUTCOME_UNKNOWN, self.resend_until_settled(booking).code)

    def test_instance_killed_during_a_booking(self):
        name = list(self.cluster.instances_by_name)[2]
        booking, future = self.start_slow_booking(name)
        self.cluster.kill(name)
        future.result()
        self.assertIn(self.resend_until_settled(booking).code, (0, OUTCOME_UNKNOWN))
        self.cluster.restart(name)

    def test_instance_frozen_between_claim_and_send(self):
        name = list(self.cluster.instances_by_name)[1]
        address = self.cluster.instances_by_name[name].caller_address
        delay = Fault(FaultKind.DELAY, CLAIM_KIND, method="PUT", delay_ms=900.0)
        self.cluster.platform.set_faults([delay])
        booking = make_booking(SHARD, deadline_ms=DEADLINE_MS)
        puts_before = self.count_puts()
        future = self.pool.submit(self.send, address, booking)
        wait_until(
            lambda: self.count_puts() > puts_before,
            "the platform has received the claim",
        )
        self.cluster.freeze(name)
        try:
            self.cluster.platform.clear_faults()
            wait_until(
                lambda: is_dead(self.cluster, name),
                "the frozen instance is considered dead",
            )
            resent = self.resend_until_settled(booking)
        finally:
            self.cluster.resume(name)
        self.assertIn(resent.code, (0, OUTCOME_UNKNOWN))
        self.attempts.append(future.result())
        self.cluster.wait_ready(name)

    def count_puts(self):
        return self.cluster.platform.counters()["by_name"].get("put", 0)


class ClaimsIgnoredTests(ClusterTestCase):
    variant = "claims_ignored"

    def test_duplicate_bookings_are_found(self):
        send_to_all_concurrently(self.cluster)
        self.assertNotEqual([], duplicate_bookings(self.cluster))


class RefusedAfterRunTests(ClusterTestCase):
    variant = "refused_after_run"

    def test_refusals_after_a_run_are_found(self):
        attempts = book_with_lost_replies(self.cluster)
        self.assertNotEqual([], requests_run_despite_refusal(self.cluster, attempts))


class ClaimsUnneededTests(ClusterTestCase):
    variant = "claims_unneeded"

    def test_runs_without_a_claim_are_found(self):
        attempts = book_during_outage(self.cluster)
        self.assertNotEqual(
            {NOT_RUN_PLATFORM_DOWN}, {attempt.code for attempt in attempts}
        )
        self.assertNotEqual([], duplicate_bookings(self.cluster))
