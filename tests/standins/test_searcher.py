from __future__ import annotations

import http.client

import testtools

from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.launcher import Cluster
from almondspool.standins.records import find_records, records_by_shard
from tests.standins.support import (
    call,
    is_refused,
    make_leg,
    open_connection,
    run_legs,
    send_legs,
    wait_until,
)

SERVICE = "alert-desk-01"
SEARCHER = f"{SERVICE}-a"
SHARD = f"{SERVICE}/0"
LEG_DELAY_MS = 60_000


class SearcherTestCase(testtools.TestCase):
    """Runs the stand-ins of the demo and sets faults of one searcher."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.cluster = cls.enterClassContext(Cluster("demo", instances=0))
        cls.cluster.start_standins()
        cls.address = cls.cluster.deployment.searchers_by_id[SEARCHER].address
        cls.control = cls.cluster.searcher_control(SEARCHER)

    def setUp(self):
        super().setUp()
        self.addCleanup(self.control.clear_faults)
        self.control.clear_journal()
        self.connection = self.connect()

    def connect(self, address: str | None = None) -> http.client.HTTPConnection:
        connection = open_connection(address or self.address)
        self.addCleanup(connection.close)
        return connection

    def set_fault(self, kind: FaultKind, **parameters: object) -> None:
        self.control.set_faults([Fault(kind, SEARCHER, **parameters)])

    def entries(self) -> list[dict[str, object]]:
        return self.control.journal()["entries"]

    def load(self) -> dict[str, object]:
        return call(self.connect(), "GET", "/v1/load")[1]

    def delay_legs(self) -> None:
        """Make each leg take longer than the test."""
        self.set_fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)


class LegsTests(SearcherTestCase):
    def test_results_equal_the_shard(self):
        dataset = self.cluster.deployment.datasets_by_team["alert-desk"]
        for snapshot in (1, 2):
            for query in ({}, {"status": "armed"}):
                leg = make_leg("a", SHARD, snapshot=snapshot, query=query)
                (result,) = run_legs(self.connection, leg)
                held = records_by_shard(dataset, SERVICE, snapshot)[SHARD]
                expected = [item._asdict() for item in find_records(held, query)]
                self.assertEqual(expected, result["records"])
                self.assertEqual(("ok", True), (result["status"], result["was_run"]))

    def test_many_legs_in_one_call(self):
        legs = [make_leg(str(number), SHARD) for number in range(20)]
        results = run_legs(self.connection, *legs)
        self.assertEqual(
            {leg["leg_id"] for leg in legs}, {item["leg_id"] for item in results}
        )
        self.assertEqual({"ok"}, {item["status"] for item in results})

    def test_booking_is_journalled_once(self):
        run_legs(self.connection, make_leg("b", SHARD, idempotent=False))
        (entry,) = self.entries()
        self.assertEqual("request-b", entry["request_id"])
        self.assertEqual((False, True), (entry["idempotent"], entry["finished"]))
        bookings = self.cluster.bookings_by_request_id()
        self.assertEqual({"request-b": [SEARCHER]}, bookings)

    def test_refused_legs_are_not_run(self):
        unknown = make_leg("u", f"{SERVICE}/99")
        gone = make_leg("g", SHARD, snapshot=99)
        expired = make_leg("e", SHARD, deadline_ms=0)
        results = run_legs(self.connection, unknown, gone, expired)
        self.control.change_searcher(SEARCHER, draining=True)
        self.addCleanup(self.control.change_searcher, SEARCHER, draining=False)
        results += run_legs(self.connection, make_leg("d", SHARD))
        self.assertEqual(503, call(self.connection, "GET", "/v1/health")[0])
        status_by_leg_id = {item["leg_id"]: item["status"] for item in results}
        self.assertEqual(
            {
                "u": "shard_unknown",
                "g": "snapshot_gone",
                "e": "deadline",
                "d": "draining",
            },
            status_by_leg_id,
        )
        self.assertEqual({False}, {item["was_run"] for item in results})
        self.assertEqual([], self.entries())

    def test_snapshots_are_withdrawn(self):
        self.control.change_searcher(SEARCHER, snapshots=[2])
        self.addCleanup(self.control.change_searcher, SEARCHER, snapshots=[1, 2])
        (result,) = run_legs(self.connection, make_leg("s", SHARD))
        self.assertEqual("snapshot_gone", result["status"])

    def test_running_and_queued_legs_are_cancelled(self):
        self.delay_legs()
        send_legs(self.connection, *[make_leg(name, SHARD) for name in "abc"])
        wait_until(lambda: self.load()["queued"] == 1, "a leg waits")
        self.assertEqual(2, self.load()["running"])
        call(self.connect(), "POST", "/v1/cancel", b'{"leg_ids": ["a", "b", "c"]}')
        lines = self.connection.getresponse().read().splitlines()
        self.assertEqual(3, sum(b'"cancelled"' in line for line in lines))
        self.assertEqual({"running": 0, "queued": 0}, self.idle_load())
        self.assertEqual([False], list({item["finished"] for item in self.entries()}))

    def idle_load(self) -> dict[str, object]:
        load = self.load()
        return {key: load[key] for key in ("running", "queued")}

    def test_deadline_ends_running_and_waiting_legs(self):
        self.delay_legs()
        legs = [make_leg(name, SHARD, deadline_ms=30) for name in "abcd"]
        results = run_legs(self.connection, *legs)
        self.assertEqual({"deadline"}, {item["status"] for item in results})
        self.assertEqual({"running": 0, "queued": 0}, self.idle_load())

    def test_full_queue_sheds(self):
        limit = self.cluster.deployment.searchers_by_id[SEARCHER].queue_limit
        self.delay_legs()
        legs = [
            make_leg(str(number), SHARD, deadline_ms=500) for number in range(limit + 3)
        ]
        results = run_legs(self.connection, *legs)
        shed = [item for item in results if item["status"] == "shed"]
        self.assertEqual([False], [item["was_run"] for item in shed])


class ConnectionTests(SearcherTestCase):
    def counts(self) -> dict[str, int]:
        return self.cluster.connections_by_upstream_id()[SEARCHER]

    def test_limit_counts_open_connections(self):
        limit = self.cluster.deployment.searchers_by_id[SEARCHER].connections
        connections = [self.connect() for _ in range(limit)]
        for connection in connections:
            call(connection, "GET", "/v1/health")
        excess = self.connect()
        disconnected = (http.client.RemoteDisconnected, ConnectionResetError)
        self.assertRaises(disconnected, call, excess, "GET", "/v1/health")
        self.assertEqual((limit + 1, 1), (self.counts()["peak"], self.violations()))
        connections[0].close()
        self.assertEqual(200, call(self.connect(), "GET", "/v1/health")[0])
        self.assertEqual((limit, 1), (self.counts()["open"], self.violations()))

    def violations(self) -> int:
        entries = [item for item in self.entries() if "open_connections" in item]
        self.assertEqual(len(entries), self.counts()["violations"])
        return len(entries)

    def test_down_and_up(self):
        call(self.connection, "GET", "/v1/health")
        self.cluster.kill_searcher(SEARCHER)
        self.assertTrue(is_refused(self.address))
        self.assertEqual(b"", self.connection.sock.recv(1))
        self.cluster.restart_searcher(SEARCHER)
        self.assertEqual(200, call(self.connect(), "GET", "/v1/health")[0])


class FaultTests(SearcherTestCase):
    def run_one(self, **changes: object) -> list[dict[str, object]]:
        return run_legs(self.connection, make_leg("x", SHARD, **changes))

    def test_doubled_and_wrong_replies(self):
        self.set_fault(FaultKind.DOUBLED)
        self.assertEqual(["x", "x"], [item["leg_id"] for item in self.run_one()])
        self.set_fault(FaultKind.WRONG_REQUEST)
        self.assertEqual(["x-other"], [item["leg_id"] for item in self.run_one()])
        self.set_fault(FaultKind.WRONG_SNAPSHOT)
        self.assertEqual([2], [item["snapshot"] for item in self.run_one()])

    def test_oversized_and_malformed(self):
        self.set_fault(FaultKind.OVERSIZED, size_bytes=500_000)
        self.assertEqual(500_000, len(self.run_one()[0]["detail"]))
        self.set_fault(FaultKind.MALFORMED)
        send_legs(self.connection, make_leg("x", SHARD))
        self.assertEqual(b"{not json}\n", self.connection.getresponse().read())

    def test_truncated(self):
        self.set_fault(FaultKind.TRUNCATED)
        self.assertRaises(http.client.IncompleteRead, self.run_one)

    def test_never_ending(self):
        self.set_fault(FaultKind.NEVER_ENDING)
        send_legs(self.connection, make_leg("x", SHARD))
        response = self.connection.getresponse()
        self.assertEqual(b"x" * 300_000, response.read(300_000))

    def test_dropped_reply_has_an_effect(self):
        self.set_fault(FaultKind.DROP_REPLY_AFTER_EFFECT, count=1)
        disconnected = http.client.RemoteDisconnected
        self.assertRaises(disconnected, self.run_one, idempotent=False)
        self.assertEqual([True], [item["finished"] for item in self.entries()])

    def test_crash_aborts_other_legs_and_restarts(self):
        self.delay_legs()
        send_legs(self.connection, make_leg("other", SHARD))
        wait_until(lambda: self.load()["running"] == 1, "the other leg runs")
        self.set_fault(
            FaultKind.CRASH_ON, field="street", value="Jarrah Lane", restart_s=0.5
        )
        crashing = make_leg("crash", SHARD, query={"street": "Jarrah Lane"})
        disconnected = http.client.RemoteDisconnected
        self.assertRaises(disconnected, run_legs, self.connect(), crashing)
        self.assertRaises(disconnected, self.connection.getresponse)
        self.assertEqual({False}, {item["finished"] for item in self.entries()})
        neighbour = self.cluster.deployment.searchers_by_id[f"{SERVICE}-b"]
        self.assertFalse(is_refused(neighbour.address))
        wait_until(lambda: not is_refused(self.address), "it listens again")
        (result,) = run_legs(self.connect(), make_leg("after", SHARD))
        self.assertEqual("ok", result["status"])

    def test_silent_connection_and_a_new_one(self):
        call(self.connection, "GET", "/v1/health")
        self.set_fault(FaultKind.SILENT_CONNECTION)
        self.connection.request("GET", "/v1/health")
        self.assertEqual(200, call(self.connect(), "GET", "/v1/health")[0])
        self.connection.sock.setblocking(False)
        self.assertRaises(BlockingIOError, self.connection.sock.recv, 1)

    def test_freeze_holds_a_result_until_cleared(self):
        self.set_fault(FaultKind.FREEZE)
        send_legs(self.connection, make_leg("x", SHARD))
        self.control.clear_faults()
        self.assertIn(b'"ok"', self.connection.getresponse().read())

    def test_refuse(self):
        self.set_fault(FaultKind.REFUSE)
        self.assertTrue(is_refused(self.address))
        self.control.clear_faults()
        self.assertFalse(is_refused(self.address))

    def test_false_load_and_health_reports(self):
        self.set_fault(FaultKind.LIE_LOAD, running=7, queued=9)
        self.assertEqual((7, 9), (self.load()["running"], self.load()["queued"]))
        self.set_fault(FaultKind.LIE_HEALTH, healthy=False)
        self.assertEqual(503, call(self.connection, "GET", "/v1/health")[0])
        self.set_fault(FaultKind.OUTAGE)
        self.assertEqual(503, call(self.connection, "GET", "/v1/load")[0])
