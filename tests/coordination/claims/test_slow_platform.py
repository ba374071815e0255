"""Claims, acceptance and membership while the platform answers after seconds."""

from __future__ import annotations

import random

import eventlet
import eventlet.queue
import prometheus_client
import testtools
from eventlet.event import Event
from returns.result import Failure

from almondspool.codes import ResultCode
from almondspool.coordination.claims.claim_latency import (
    PROBE_INTERVAL_S,
    ClaimLatencyEstimate,
)
from almondspool.coordination.claims.claims_task import make_claims_task
from almondspool.coordination.configuration.acceptance import Acceptor
from almondspool.coordination.configuration.configuration import Configuration
from almondspool.coordination.membership.member_records import MemberRecords
from almondspool.coordination.membership.membership import Membership
from almondspool.coordination.membership.membership_settings import MembershipSettings
from almondspool.coordination.store.platform_calls import make_platform_calls
from almondspool.errors import PlatformError
from almondspool.logs import EventLog
from almondspool.transport.timers import VirtualTimers
from tests.configuration_session import section_text
from tests.coordination.network import make_member
from tests.coordination.search_session_driver import make_request
from tests.fakes import FakePlatform
from tests.golden_session import verify_session

STEP_S = 0.01
CALL_TIMEOUT_S = 2.0
CLAIM_TIMEOUT_S = 1.5
QUICK_S = 0.005
CALLS_PER_S = 60.0
RETENTION_S = 3600.0
REFUSED = ResultCode.NOT_RUN_PLATFORM_DOWN.name
BOOKING_INTERVAL_S = 0.8


class SlowPlatform(FakePlatform):
    """Answers each call after a delay; a call that timed out still takes effect."""

    def __init__(self, timers):
        super().__init__()
        self.timers = timers
        self.delay_s = QUICK_S

    def get(self, kind, name):
        return self._wait("GET", lambda: FakePlatform.get(self, kind, name))

    def list(self, kind):
        return self._wait("LIST", lambda: FakePlatform.list(self, kind))

    def put(self, kind, name, value, expected_version):
        return self._wait(
            "PUT", lambda: FakePlatform.put(self, kind, name, value, expected_version)
        )

    def list_instances(self):
        return self._wait("INSTANCES", lambda: FakePlatform.list_instances(self))

    def _wait(self, method, call):
        delay_s = self.delay_s
        answered = Event()
        self.timers.call_later(delay_s, lambda: answered.send(call()))
        if delay_s <= CALL_TIMEOUT_S:
            return answered.wait()
        timed_out = Event()
        self.timers.call_later(CALL_TIMEOUT_S, timed_out.send)
        timed_out.wait()
        return Failure(PlatformError(f"{method}: no answer in {CALL_TIMEOUT_S:g} s"))


class SlowSession:
    """One instance's claims, acceptance and membership under virtual time."""

    def __init__(self):
        self.lines = []
        self.timers = VirtualTimers()
        self.platform = SlowPlatform(self.timers)
        self.log = EventLog(self.write)
        rng = random.Random(1)
        self.calls = make_platform_calls(
            self.platform, self.timers, self.log, CALLS_PER_S, rng
        )
        self.claims = make_claims_task(
            self.calls,
            self.timers,
            self.log,
            "perth-1",
            1,
            RETENTION_S,
            lambda owner, incarnation: True,
            rng,
        )
        self.acceptor = Acceptor(
            self.calls,
            Configuration("perth-1", rng, 0.0),
            rng,
            self.pause,
            lambda accepted: None,
        )
        self.bookings = 0
        self.waits_by_code = {}
        self.retries_s = []
        self.start_membership()

    def start_membership(self):
        settings = MembershipSettings(seed_peers=())
        own = make_member("perth-1", 0)
        self.membership = Membership(own, settings, random.Random(1))
        registry = prometheus_client.CollectorRegistry()
        self.records = MemberRecords(self.membership, self.calls, self.log, registry)
        self.inbox = eventlet.queue.LightQueue()
        eventlet.spawn_n(self.run_records)
        self.execute(self.membership.start(0.0))
        self.timers.subscribe(
            1.0, lambda: self.execute(self.membership.tick(self.now()))
        )

    def run_records(self):
        while True:
            for decide in self.records.execute(self.inbox.get()):
                self.execute(decide(self.now()))

    def execute(self, actions):
        for action in actions:
            if type(action).__name__ in ("WriteRecord", "ReadRecordsAndListing"):
                self.inbox.put(action)

    def now(self):
        return self.timers.now()

    def write(self, line):
        self.lines.append(f"{self.now():7.2f} {line}")

    def pause(self, duration_s):
        self.timers.sleep(duration_s)

    def advance(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            eventlet.sleep(0)
            self.timers.advance(STEP_S)
            for _ in range(4):
                eventlet.sleep(0)

    def answer_after(self, delay_s):
        self.lines.append(f"-- the platform answers after {delay_s:g} s")
        self.platform.delay_s = delay_s

    def book(self):
        """Claim one booking in a green thread and record how long it took."""
        self.bookings += 1
        request = make_request(
            request_id=f"booking-{self.bookings}",
            idempotent=False,
            shard="shard-0",
            issued_at_ms=int(self.timers.wall_time() * 1000),
        )
        return eventlet.spawn(self.claim, request)

    def claim(self, request):
        asked_at = self.now()
        decision = self.claims.claim(request, CLAIM_TIMEOUT_S)
        waited_s = self.now() - asked_at
        if not decision.is_claimed:
            self.retries_s.append(decision.retry_after_s)
        self.waits_by_code.setdefault(decision.code.name, []).append(waited_s)

    def book_for(self, duration_s):
        for _ in range(round(duration_s / BOOKING_INTERVAL_S)):
            self.book()
            self.advance(BOOKING_INTERVAL_S)
        for code, waits_s in sorted(self.waits_by_code.items()):
            at_once = sum(wait_s < STEP_S for wait_s in waits_s)
            self.write(f"{len(waits_s)} bookings {code} so far, {at_once} at once")
        self.write(f"membership may act: {self.membership.may_act(self.now())}")

    def accept(self, deadline_ms):
        text = section_text("alert-desk", deadline_ms=deadline_ms).encode()
        return eventlet.spawn(self.acceptor.accept, "alert-desk", text, "", "token")


class SlowPlatformTests(testtools.TestCase):
    def run_session(self):
        session = SlowSession()
        session.answer_after(QUICK_S)
        session.book_for(1.6)
        session.answer_after(1.2)
        accepted = session.accept(170)
        session.book_for(8.0)
        acceptance = accepted.wait()
        session.write(f"acceptance {acceptance.code.name}: {acceptance.message}")
        session.answer_after(6.0)
        session.book_for(8.0)
        session.answer_after(QUICK_S)
        session.book_for(8.0)
        session.advance(20.0)
        self.assertEqual(ResultCode.OK, acceptance.code)
        return session

    def test_platform_slow_for_a_long_time(self):
        session = self.run_session()
        verify_session("platform_slow", session.lines)
        self.assertTrue(session.membership.may_act(session.now()))
        self.assertTrue(session.claims.is_idle())
        self.assertGreater(min(session.retries_s), 0.0)
        refused = session.waits_by_code[REFUSED]
        self.assertGreater(sum(each < STEP_S for each in refused), len(refused) / 2)
        self.assertLess(max(refused), CLAIM_TIMEOUT_S + 2 * STEP_S)

    def test_without_the_estimate_every_refusal_waits(self):
        self.patch(ClaimLatencyEstimate, "expected_s", lambda estimate, now: 0.0)
        session = SlowSession()
        session.answer_after(1.2)
        session.book_for(6.0)
        session.advance(3.0)
        self.assertGreater(min(session.waits_by_code[REFUSED]), CLAIM_TIMEOUT_S / 2)


class ClaimLatencyEstimateTests(testtools.TestCase):
    def make(self, *durations_s):
        estimate, now = ClaimLatencyEstimate(), 0.0
        for duration_s in durations_s:
            estimate.start("bucket", now)
            now += duration_s
            estimate.end("bucket", now)
        return estimate, now

    def test_single_slow_call_is_ignored(self):
        estimate, now = self.make(0.005, 3.0)
        self.assertLess(estimate.expected_s(now), 0.1)

    def test_two_slow_calls_predict_a_slow_claim(self):
        estimate, now = self.make(3.0, 2.0)
        self.assertEqual(4.0, estimate.expected_s(now))

    def test_only_one_probe_is_let_through(self):
        estimate, now = self.make(3.0, 3.0)
        now += PROBE_INTERVAL_S
        self.assertEqual(0.0, estimate.expected_s(now))
        estimate.start("bucket", now)
        self.assertEqual(6.0, estimate.expected_s(now + 0.1))

    def test_long_call_in_progress_counts(self):
        estimate, now = self.make(0.005, 0.005)
        estimate.start("bucket", now)
        self.assertEqual(2.5, round(estimate.expected_s(now + 2.5), 3))

    def test_call_that_was_not_started_is_ignored(self):
        estimate, now = self.make(3.0, 3.0)
        estimate.start("bucket", now)
        estimate.end("bucket", now, was_started=False)
        self.assertEqual(6.0, estimate.expected_s(now))
