"""A non-idempotent request runs at most once, and "not run" means not run."""

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
CLAIMS = "claims"
BOOKINGS = 12
OUTAGE_BOOKINGS = 4
DEADLINE_MS = 4000
SLOW_MS = 1500.0
# Far longer than it takes to kill a searcher, which ends the wait.
CRASH_SLOW_MS = 8000.0
CRASH_DEADLINE_MS = 12_000
STILL_RUNNING = 303
UNKNOWN = 302
PLATFORM_DOWN = 204


def send_to_all_at_once(cluster, bookings=BOOKINGS):
    """Send the same bookings to every instance at once and return the attempts."""
    addresses = caller_addresses(cluster)
    attempts = []
    for number in range(bookings):
        booking = make_booking(SHARDS[number % len(SHARDS)])
        attempts += post_concurrently(addresses, [booking])
    return attempts


def book_during_outage(cluster):
    """Send bookings to every instance while the platform is down."""
    cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
    try:
        return send_to_all_at_once(cluster, OUTAGE_BOOKINGS)
    finally:
        cluster.platform.clear_faults()


def lose_replies(cluster, bookings=BOOKINGS):
    """Send bookings whose replies are lost after the effect, each twice."""
    lost = Fault(FaultKind.DROP_REPLY_AFTER_EFFECT)
    cluster.searcher_controls()[0].set_faults([lost])
    addresses = caller_addresses(cluster)
    attempts = []
    for number in range(bookings):
        booking = make_booking(SHARDS[number % len(SHARDS)])
        for address in addresses[:2]:
            attempts.append(post(address, booking))
    return attempts


class BookingTests(ClusterTestCase):
    # Keeps other writes out of count_puts.
    settings = {"status_interval_s": 60.0}

    def setUp(self):
        super().setUp()
        self.pool = self.enterContext(concurrent.futures.ThreadPoolExecutor(8))
        self.addCleanup(self.assert_sound)
        self.attempts = []
        for address in caller_addresses(self.cluster):
            self.wait_for_recovery(address)

    def wait_for_recovery(self, address):
        """Wait until bookings run again after the faults of an earlier test."""

        def takes_bookings():
            return post(address, make_booking(SHARD)).code == 0

        wait_until(takes_bookings, f"{address} takes bookings")

    def assert_sound(self):
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
        """Resend as a caller does and return the last attempt."""
        caller = Caller(self.cluster)

        def settled():
            attempt = caller.send(booking)
            return attempt if attempt.code != STILL_RUNNING else None

        attempt = wait_until(settled, f"{booking['request_id']} is settled")
        self.attempts += caller.attempts
        return attempt

    def start_slow_booking(self, name, slow_ms=SLOW_MS, deadline_ms=DEADLINE_MS):
        """Send a booking to an instance and return when a searcher runs it."""
        self.set_searcher_fault(FaultKind.SLOW, delay_ms=slow_ms)
        booking = make_booking(SHARD, deadline_ms=deadline_ms)
        address = self.cluster.instances_by_name[name].caller_address
        future = self.pool.submit(self.send, address, booking)
        wait_until(lambda: self.runs_of(booking), "a searcher runs the booking")
        return booking, future

    def test_same_id_sent_to_all_at_once(self):
        self.attempts = send_to_all_at_once(self.cluster)
        ran = {attempt.request["request_id"] for attempt in self.attempts}
        self.assertEqual(ran, ran & self.cluster.bookings_by_request_id().keys())

    def test_reply_of_platform_lost_after_effect(self):
        dropped = Fault(FaultKind.DROP_REPLY_AFTER_EFFECT, CLAIMS, share=0.5)
        self.cluster.platform.set_faults([dropped])
        for number in range(BOOKINGS):
            booking = make_booking(SHARDS[number % len(SHARDS)])
            self.assertEqual(0, self.resend_until_settled(booking).code)
            self.assertEqual(1, len(self.runs_of(booking)))

    def test_reply_of_searcher_lost_after_effect(self):
        self.attempts = lose_replies(self.cluster)
        codes = {attempt.code for attempt in self.attempts}
        self.assertEqual({UNKNOWN}, codes - {STILL_RUNNING})

    def test_platform_outage(self):
        self.attempts = book_during_outage(self.cluster)
        codes = {attempt.code for attempt in self.attempts}
        self.assertEqual({PLATFORM_DOWN}, codes)
        self.assert_sound()
        by_id = {each.request["request_id"]: each.request for each in self.attempts}
        for booking in by_id.values():
            self.assertEqual(0, self.resend_until_settled(booking).code)
            self.assertEqual(1, len(self.runs_of(booking)))

    def test_searcher_crashes_in_the_middle(self):
        name = next(iter(self.cluster.instances_by_name))
        booking, future = self.start_slow_booking(
            name, CRASH_SLOW_MS, CRASH_DEADLINE_MS
        )
        upstream_id = self.runs_of(booking)[0]["upstream_id"]
        self.cluster.kill_searcher(upstream_id)
        self.addCleanup(self.cluster.restart_searcher, upstream_id)
        self.assertEqual(UNKNOWN, future.result().code)
        self.assertEqual(UNKNOWN, self.resend_until_settled(booking).code)

    def test_instance_killed_in_the_middle(self):
        name = list(self.cluster.instances_by_name)[2]
        booking, future = self.start_slow_booking(name)
        self.cluster.kill(name)
        future.result()
        self.assertIn(self.resend_until_settled(booking).code, (0, UNKNOWN))
        self.cluster.restart(name)

    def test_instance_frozen_between_claim_and_send(self):
        name = list(self.cluster.instances_by_name)[1]
        address = self.cluster.instances_by_name[name].caller_address
        slow = Fault(FaultKind.DELAY, CLAIMS, method="PUT", delay_ms=900.0)
        self.cluster.platform.set_faults([slow])
        booking = make_booking(SHARD, deadline_ms=DEADLINE_MS)
        puts = self.count_puts()
        future = self.pool.submit(self.send, address, booking)
        wait_until(lambda: self.count_puts() > puts, "the claim is on its way")
        self.cluster.freeze(name)
        try:
            self.cluster.platform.clear_faults()
            wait_until(lambda: is_dead(self.cluster, name), "it is past its lease")
            elsewhere = self.resend_until_settled(booking)
        finally:
            self.cluster.resume(name)
        self.assertIn(elsewhere.code, (0, UNKNOWN))
        self.attempts.append(future.result())
        self.cluster.wait_ready(name)

    def count_puts(self):
        return self.cluster.platform.counters()["by_name"].get("put", 0)


class ClaimsIgnoredTests(ClusterTestCase):
    variant = "claims_ignored"

    def test_doubled_bookings_are_found(self):
        send_to_all_at_once(self.cluster)
        self.assertNotEqual([], duplicate_bookings(self.cluster))


class RefusedAfterRunTests(ClusterTestCase):
    variant = "refused_after_run"

    def test_refusals_after_a_run_are_found(self):
        attempts = lose_replies(self.cluster)
        self.assertNotEqual([], requests_run_despite_refusal(self.cluster, attempts))


class ClaimsUnneededTests(ClusterTestCase):
    variant = "claims_unneeded"

    def test_runs_without_a_claim_are_found(self):
        attempts = book_during_outage(self.cluster)
        self.assertNotEqual({PLATFORM_DOWN}, {attempt.code for attempt in attempts})
        self.assertNotEqual([], duplicate_bookings(self.cluster))
