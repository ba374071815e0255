"""Tests that a request crashes at most two searchers, however often it is resent."""

from __future__ import annotations

from typing import NamedTuple

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Attempt, Caller, make_request, make_search, post
from tests.processes.checks import (
    journal_entries,
    searchers_without_legs,
    wrong_answers,
)
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    caller_addresses,
    wait_until,
    wait_until_none,
)

CRASHING_QUERY = {"model": "crash-me"}
CRASHING_ID_PREFIX = "crashing-"
SHARD = f"{TEAM}-01/0"
# Longer than the tests, so that a crashed searcher stays down.
RESTART_DELAY_S = 300.0
NOT_RUN_QUARANTINED = 205
RESEND_ROUNDS = 4
MAX_CRASHES = 2


class Resend(NamedTuple):
    """One attempt.

    Attributes:
        crashes_before: Number of searchers that had crashed before it.
        attempt: The attempt.
    """

    crashes_before: int
    attempt: Attempt


def make_crashing_request(**fields):
    """Return a search with a fresh id that crashes the searchers that run it."""
    request = make_request(CRASHING_QUERY, **fields)
    return {**request, "request_id": CRASHING_ID_PREFIX + request["request_id"]}


def crashed_searchers(cluster):
    """Return the ids of the searchers that exited during a leg of a crashing request.

    Legs of other requests are unfinished too if they were cancelled, as hedges are.
    """
    return {
        entry["upstream_id"]
        for entry in journal_entries(cluster)
        if not entry["finished"] and entry["request_id"].startswith(CRASHING_ID_PREFIX)
    }


def search_until_every_searcher_ran(cluster):
    """Search until no searcher lacks connections.

    Just after the start, no instance may have a share of some searchers' connections
    yet. Searches are complete without these, but nothing can crash them.
    """

    def search_and_find_unused():
        for address in caller_addresses(cluster):
            post(address, make_request({}))
        return searchers_without_legs(cluster, TEAM)

    wait_until_none(search_and_find_unused, "every searcher has run a leg")


def send_crashing_requests(cluster):
    """Send a crashing query repeatedly to one shard and to its service.

    A crashed searcher stays down, so each crash is that of another searcher.

    Returns:
        All requests sent, each with the number of crashes before it.
    """
    search_until_every_searcher_ran(cluster)
    crash = Fault(
        FaultKind.CRASH_ON,
        field="model",
        value=CRASHING_QUERY["model"],
        restart_s=RESTART_DELAY_S,
    )
    cluster.searcher_controls()[0].set_faults([crash])
    resends = []
    for number in range(RESEND_ROUNDS):
        addresses = caller_addresses(cluster)
        address = addresses[number % len(addresses)]
        requests = [make_crashing_request(shard=SHARD)]
        if number:
            requests.append(make_crashing_request(services=[f"{TEAM}-01"]))
        for request in requests:
            crashes = len(crashed_searchers(cluster))
            resends.append(Resend(crashes, post(address, request)))
    return resends


class CrashingRequestTests(ClusterTestCase):
    def test_two_searchers_crash_at_most(self):
        resends = send_crashing_requests(self.cluster)
        after_quarantine = [
            resend for resend in resends if resend.crashes_before >= MAX_CRASHES
        ]
        self.assertNotEqual([], after_quarantine)
        for resend in after_quarantine:
            self.assertEqual(NOT_RUN_QUARANTINED, resend.attempt.code, resend)
        self.assert_refused_everywhere()
        crashed = crashed_searchers(self.cluster)
        self.assertEqual(MAX_CRASHES, len(crashed), crashed)
        caller = Caller(self.cluster)
        others = [caller.send(make_search(number)) for number in range(10)]
        self.assertEqual([], wrong_answers(self.cluster, others))
        for upstream_id in crashed:
            self.cluster.restart_searcher(upstream_id)
        wait_until(lambda: caller.search({}).code == 0, "answers are complete again")
        self.assert_refused_everywhere()

    def assert_refused_everywhere(self):
        for address in caller_addresses(self.cluster):
            attempt = post(address, make_crashing_request(shard=SHARD))
            self.assertEqual(NOT_RUN_QUARANTINED, attempt.code, attempt.answer)


class NoQuarantineTests(ClusterTestCase):
    variant = "no_quarantine"

    def test_further_crashes_are_found(self):
        send_crashing_requests(self.cluster)
        self.assertGreater(len(crashed_searchers(self.cluster)), MAX_CRASHES)
