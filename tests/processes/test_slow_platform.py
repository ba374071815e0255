"""Tests that a slow platform delays no search, and that bookings are refused early."""

from __future__ import annotations

import concurrent.futures
from typing import ClassVar

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import NO_ANSWER, make_booking, make_search, post
from tests.processes.checks import (
    duplicate_bookings,
    requests_run_despite_refusal,
    wrong_answers,
)
from tests.processes.generations import edited_section
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    apply_section,
    caller_addresses,
    operator_client,
    wait_until,
    wait_until_in_force,
)

# Longer than a caller waits for a search; two such calls exceed a booking's deadline.
PLATFORM_DELAY_MS = 8000.0
SHORT_PLATFORM_DELAY_MS = 600.0
BOOKING_DEADLINE_MS = 8000
BOOKING_COUNT = 6
NOT_RUN_PLATFORM_DOWN = 204


def delay_platform(cluster, delay_ms=PLATFORM_DELAY_MS):
    """Delay every reply of the platform."""
    cluster.platform.set_faults([Fault(FaultKind.SLOW, delay_ms=delay_ms)])


def search_at_all_instances(cluster):
    """Send a search to each instance concurrently; return the attempts."""
    addresses = caller_addresses(cluster)
    searches = [make_search(number) for number in range(len(addresses))]
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
        return list(pool.map(post, addresses, searches))


def book(cluster, count):
    """Send bookings in turn to one instance; return the attempts."""
    address = caller_addresses(cluster)[0]
    return [
        post(address, make_booking(f"{TEAM}-01/0", deadline_ms=BOOKING_DEADLINE_MS))
        for _ in range(count)
    ]


def late_refusals(attempts):
    """Return the refusals that took at least half of the deadline."""
    limit_ms = BOOKING_DEADLINE_MS / 2
    return [
        f"{attempt.request['request_id']}: {attempt.answer}"
        for attempt in attempts
        if attempt.code == NOT_RUN_PLATFORM_DOWN
        and attempt.answer["elapsed_ms"] >= limit_ms
    ]


class SlowPlatformTestCase(ClusterTestCase):
    settings: ClassVar = {"platform_timeout_s": 30.0}


class SlowPlatformTests(SlowPlatformTestCase):
    def test_searches_do_not_wait_for_the_platform(self):
        name = next(iter(self.cluster.instances_by_name))
        delay_platform(self.cluster)
        attempts = search_at_all_instances(self.cluster)
        self.cluster.kill(name)
        self.cluster.restart(name)
        attempts += search_at_all_instances(self.cluster)
        self.assertNotIn(NO_ANSWER, {attempt.code for attempt in attempts})
        self.assertEqual([], wrong_answers(self.cluster, attempts))
        self.assert_recovers()

    def test_bookings_are_refused_before_their_deadline(self):
        delay_platform(self.cluster)
        attempts = book(self.cluster, BOOKING_COUNT)
        self.assertEqual(
            {NOT_RUN_PLATFORM_DOWN}, {attempt.code for attempt in attempts}
        )
        self.assertEqual([], late_refusals(attempts))
        for attempt in attempts:
            self.assertGreater(attempt.answer["retry_after_ms"], 0)
        self.assertEqual([], requests_run_despite_refusal(self.cluster, attempts))
        self.assert_recovers()
        self.assertEqual([], requests_run_despite_refusal(self.cluster, attempts))

    def test_section_is_accepted_with_a_short_delay(self):
        generation = wait_until_in_force(self.cluster)
        delay_platform(self.cluster, SHORT_PLATFORM_DELAY_MS)
        text = edited_section(self.cluster)
        apply_section(self.cluster, TEAM, text)
        self.assertEqual(
            generation + 1, wait_until_in_force(self.cluster, generation + 1)
        )
        self.assertEqual(text, operator_client(self.cluster).get_section(TEAM)["text"])

    def assert_recovers(self):
        self.cluster.platform.clear_faults()
        for address in caller_addresses(self.cluster):
            wait_until(
                lambda a=address: post(a, make_booking(f"{TEAM}-01/1")).code == 0,
                f"{address} accepts bookings again",
            )
        self.assertEqual([], duplicate_bookings(self.cluster))


class SearchesAskPlatformTests(SlowPlatformTestCase):
    variant = "searches_ask_platform"

    def test_waiting_searches_are_found(self):
        delay_platform(self.cluster)
        attempts = search_at_all_instances(self.cluster)
        self.assertEqual({NO_ANSWER}, {attempt.code for attempt in attempts})


class PatientClaimsTests(SlowPlatformTestCase):
    variant = "patient_claims"

    def test_late_refusals_are_found(self):
        delay_platform(self.cluster)
        self.assertNotEqual([], late_refusals(book(self.cluster, 1)))
