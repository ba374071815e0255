from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.coordination.queues import priority_queue
from almondspool.coordination.upstreams import leg_dispatcher
from almondspool.coordination.upstreams.leg_dispatcher import LegDispatcher
from almondspool.coordination.upstreams.leg_dispatcher_actions import (
    SendResult,
    StartExchange,
)
from almondspool.coordination.upstreams.upstream_queue import UpstreamQueue
from almondspool.protocol.upstream import LegResult
from almondspool.state.document import Priority
from tests.coordination.leg_dispatcher_session import (
    LegDispatcherSession,
    make_batch,
    make_leg,
)
from tests.golden_session import verify_session


class LegDispatcherSessionTests(testtools.TestCase):
    def test_one_upstream_under_a_burst(self):
        session = LegDispatcherSession({"searcher-1": 2}, slots=1)
        session.submit("searcher-1", make_leg("a"), make_leg("b", "s2"))
        session.submit("searcher-1", make_leg("c"), sender="front-2")
        session.submit(
            "searcher-1",
            make_leg("d", "s3"),
            make_leg("e", "s4", 15),
            priority=Priority.BACKGROUND,
        )
        session.submit("searcher-1", make_leg("f", "s5"), priority=Priority.URGENT)
        session.submit("searcher-1", make_leg("book", "s6", idempotent=False))
        session.submit("searcher-9", make_leg("g"))
        session.timers.advance(0.005)
        session.cancel("a", "d")
        session.timers.advance(0.060)
        session.submit("searcher-1", make_leg("h", "s7"), make_leg("i", "s8"))
        session.submit("searcher-1", make_leg("j", "s9"))
        session.set_grants({})
        session.submit("searcher-1", make_leg("k"))
        session.timers.advance(0.100)
        verify_session("gatherer_burst", session.lines)
        self.assertTrue(all(len(r) == 1 for r in session.results_by_leg_id.values()))

    def equal_legs(self):
        session = LegDispatcherSession({"searcher-1": 2})
        session.submit("searcher-1", make_leg("a"))
        session.timers.advance(0.005)
        session.submit("searcher-1", make_leg("b"), sender="front-2")
        session.timers.advance(0.100)
        codes = {key: r[0].code for key, r in session.results_by_leg_id.items()}
        self.assertEqual({"a": ResultCode.OK, "b": ResultCode.OK}, codes)
        return session.leg_dispatcher.counts().runs_sent

    def test_equal_legs_in_flight_run_once(self):
        self.assertEqual(1, self.equal_legs())

    def test_without_sharing_equal_legs_run_twice(self):
        self.patch(LegDispatcher, "_coalesce", lambda *args: False)
        self.assertEqual(2, self.equal_legs())

    def test_equal_non_idempotent_legs_run_each_in_its_own_exchange(self):
        session = LegDispatcherSession({"searcher-1": 1}, slots=1)
        booking = [make_leg(name, idempotent=False) for name in "abc"]
        session.submit("searcher-1", make_leg("x"), *booking)
        session.timers.advance(0.1)
        counts = session.leg_dispatcher.counts()
        self.assertEqual((4, 4, 0), (counts.runs_sent, counts.exchanges, counts.shared))

    def exchanges_after(self, free_slot):
        """Return the exchanges when a slot is freed in one that goes on."""
        session = LegDispatcherSession({"searcher-1": 2}, slots=2, service_s=0.3)
        session.submit(
            "searcher-1", make_leg("long", deadline_ms=900), make_leg("b", "s2", 50)
        )
        session.submit("searcher-1", make_leg("waiting", "s3", 900))
        self.assertEqual([["long", "b"]], session.exchanges)
        free_slot(session)
        return session.exchanges

    def test_waiting_leg_is_sent_when_another_one_is_cancelled(self):
        self.assertEqual(
            [["long", "b"], ["waiting"]],
            self.exchanges_after(lambda session: session.cancel("b")),
        )

    def test_waiting_leg_is_sent_when_the_deadline_of_another_one_has_passed(self):
        self.assertEqual(
            [["long", "b"], ["waiting"]],
            self.exchanges_after(lambda session: session.timers.advance(0.1)),
        )

    def exchange_of_suspect(self, is_exclusive=True):
        """Return the legs in the exchange of a suspect leg."""
        session = LegDispatcherSession({"searcher-1": 4}, slots=4)
        busy = [make_leg(f"busy-{number}", f"b{number}") for number in range(4)]
        session.submit("searcher-1", *busy)
        session.submit("searcher-1", make_leg("before", "s1"))
        session.submit(
            "searcher-1", make_leg("suspect", "s2"), is_exclusive=is_exclusive
        )
        session.submit("searcher-1", make_leg("after", "s3"))
        # All slots become free at once, so that the waiting legs can share exchanges.
        session.cancel(*[leg.leg_id for leg in busy])
        session.timers.advance(0.200)
        self.assertEqual(7, len(session.results_by_leg_id))
        [shared] = [legs for legs in session.exchanges if "suspect" in legs]
        return shared

    def test_a_suspect_leg_is_alone_in_its_exchange(self):
        self.assertEqual(["suspect"], self.exchange_of_suspect())

    def test_without_the_flag_it_shares_an_exchange(self):
        shared = self.exchange_of_suspect(is_exclusive=False)
        self.assertEqual(["before", "suspect", "after"], shared)

    def short_and_long(self):
        session = LegDispatcherSession({"searcher-1": 2}, service_s=0.2)
        session.submit("searcher-1", make_leg("long"), make_leg("short", "s2", 30))
        session.timers.advance(0.060)
        in_time = [result.code for result in session.results_by_leg_id.get("short", [])]
        session.timers.advance(1.0)
        self.assertEqual(ResultCode.OK, session.results_by_leg_id["long"][0].code)
        return in_time

    def test_a_short_deadline_does_not_wait_for_a_longer_one(self):
        self.assertEqual([ResultCode.LEG_TIMEOUT], self.short_and_long())

    def test_without_the_running_grace_it_waits(self):
        self.patch(leg_dispatcher, "RUNNING_GRACE_S", 1e9)
        self.assertEqual([], self.short_and_long())

    def exchanges_of_burst(self):
        session = LegDispatcherSession({"searcher-1": 3}, slots=9)
        for number in range(200):
            session.submit("searcher-1", make_leg(f"l{number}", f"s{number}", 9000))
        session.timers.advance(10.0)
        self.assertEqual(200, len(session.results_by_leg_id))
        return session.max_in_flight

    def test_exchanges_stay_within_the_grant(self):
        self.assertEqual(3, self.exchanges_of_burst())

    def test_without_the_limit_exchanges_exceed_the_grant(self):
        self.patch(UpstreamQueue, "capacity_left", 1)
        self.assertGreater(self.exchanges_of_burst(), 3)

    def test_no_more_legs_than_the_limit_queue_at_the_upstream(self):
        session = LegDispatcherSession({"searcher-1": 12})
        legs = [make_leg(f"l{number}", f"s{number}") for number in range(16)]
        session.submit("searcher-1", *legs, priority=Priority.BACKGROUND)
        session.submit("searcher-1", make_leg("z", "z"), priority=Priority.URGENT)
        self.assertEqual(2, session.leg_dispatcher.counts().runs_sent)
        session.timers.advance(0.025)
        self.assertIn("z", session.results_by_leg_id)
        session.timers.advance(1.0)
        self.assertEqual(17, len(session.results_by_leg_id))

    def test_a_leg_that_timed_out_while_it_ran_frees_its_capacity(self):
        session = LegDispatcherSession({"searcher-1": 2}, slots=1, service_s=0.2)
        session.submit("searcher-1", make_leg("short", deadline_ms=30))
        session.timers.advance(1.0)
        session.submit("searcher-1", make_leg("next"))
        session.timers.advance(1.0)
        [result] = session.results_by_leg_id["next"]
        self.assertEqual(ResultCode.OK, result.code)

    def background_wait_ms(self):
        session = LegDispatcherSession({"searcher-1": 1}, slots=1)
        self.patch(leg_dispatcher, "MAX_LEGS_PER_EXCHANGE", 1)
        session.submit(
            "searcher-1", make_leg("z0", "s0", 5000), priority=Priority.URGENT
        )
        session.submit(
            "searcher-1", make_leg("bg", "b", 5000), priority=Priority.BACKGROUND
        )
        for number in range(1, 300):
            leg = make_leg(f"z{number}", f"s{number}", 5000)
            session.submit("searcher-1", leg, priority=Priority.URGENT)
            session.timers.advance(0.010)
            if "bg" in session.results_by_leg_id:
                return number * 10
        return None

    def test_background_is_not_starved_by_urgent_legs(self):
        self.assertLess(self.background_wait_ms(), 200)

    def test_without_aging_background_is_starved(self):
        self.patch(priority_queue, "AGED_POP_INTERVAL", 10**9)
        self.assertIsNone(self.background_wait_ms())

    def test_a_full_queue_sheds_the_lower_class_first(self):
        self.patch(leg_dispatcher, "MAX_WAITING_RUNS_PER_UPSTREAM", 2)
        session = LegDispatcherSession({"searcher-1": 1}, slots=1)
        legs = [make_leg(name, name) for name in ("run", "bg1", "bg2", "bg3", "up")]
        for leg in legs[:-1]:
            session.submit("searcher-1", leg, priority=Priority.BACKGROUND)
        session.submit("searcher-1", legs[-1], priority=Priority.URGENT)
        shed = [
            (leg_id, results[0].was_run)
            for leg_id, results in session.results_by_leg_id.items()
            if results[0].code is ResultCode.LEG_SHED
        ]
        self.assertEqual([("bg3", False), ("bg2", False)], shed)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "result", "end", "cancel", "grant", "time"]),
        st.integers(0, 40),
    ),
    max_size=120,
)


class _Model:
    """Applies random events and checks the invariants after each."""

    def __init__(self, test):
        self.test = test
        self.leg_dispatcher = LegDispatcher()
        self.leg_dispatcher.set_slots({"u0": 2, "u1": 2})
        self.now = 0.0
        self.grants = {}
        self.submitted = []
        self.results = {}
        self.open_by_exchange = {}
        self.upstream_by_exchange = {}

    def execute(self, actions):
        for action in actions:
            if isinstance(action, SendResult):
                leg_id = action.result.leg_id
                self.test.assertNotIn(leg_id, self.results)
                self.results[leg_id] = action.result
            elif isinstance(action, StartExchange):
                legs = [leg.leg_id for leg in action.legs]
                self.open_by_exchange[action.exchange_id] = legs
                self.upstream_by_exchange[action.exchange_id] = action.upstream_id
                running = list(self.upstream_by_exchange.values())
                granted = self.grants[action.upstream_id]
                self.test.assertLessEqual(running.count(action.upstream_id), granted)

    def do_submit(self, number):
        leg_id = f"l{len(self.submitted)}"
        self.submitted.append(leg_id)
        leg = make_leg(leg_id, f"s{number % 3}", 10 + number, idempotent=number % 5 > 0)
        batch = make_batch(f"u{number % 2}", leg, priority=number % 3)
        self.execute(self.leg_dispatcher.submit(self.now, batch, "front"))

    def do_result(self, number):
        if self.open_by_exchange:
            ids = sorted(self.open_by_exchange)
            exchange_id = ids[number % len(ids)]
            legs = self.open_by_exchange[exchange_id]
            leg_id = legs[number % len(legs)]
            result = LegResult(leg_id, ResultCode.OK, 7, "s", upstream_id="u")
            self.execute(self.leg_dispatcher.on_result(self.now, exchange_id, result))

    def do_end(self, number):
        if self.open_by_exchange:
            ids = sorted(self.open_by_exchange)
            exchange_id = ids[number % len(ids)]
            del self.open_by_exchange[exchange_id]
            del self.upstream_by_exchange[exchange_id]
            self.execute(self.leg_dispatcher.on_end(self.now, exchange_id))

    def do_cancel(self, number):
        self.execute(self.leg_dispatcher.cancel(self.now, [f"l{number}"]))

    def do_grant(self, number):
        self.grants = {"u0": number % 4, "u1": number // 10}
        self.execute(self.leg_dispatcher.set_grants(self.now, self.grants))

    def do_time(self, number):
        self.now += number / 1000
        self.execute(self.leg_dispatcher.on_timer(self.now))

    def finish(self):
        while self.open_by_exchange:
            self.do_end(0)
        self.do_time(10_000)
        while self.open_by_exchange:
            self.do_end(0)


class LegDispatcherPropertyTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(EVENTS)
    def test_each_leg_gets_one_result_and_exchanges_stay_within_the_grant(self, events):
        model = _Model(self)
        model.do_grant(22)
        for kind, number in events:
            getattr(model, f"do_{kind}")(number)
        model.finish()
        self.assertEqual(set(model.submitted), set(model.results))
        self.assertEqual(0, model.leg_dispatcher.in_flight())
        self.assertFalse(model.leg_dispatcher.has_open_legs())
