from __future__ import annotations

import base64
import http.client

import testtools

from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.launcher import Cluster
from almondspool.standins.object_store import ObjectStore
from almondspool.standins.platform import (
    InstanceList,
    ListedInstance,
    Platform,
    RateLimiter,
)
from almondspool.standins.web import Connection, Request
from tests.standins.support import call, open_connection, wait_until


class RateLimiterTests(testtools.TestCase):
    def test_no_second_exceeds_the_limit(self):
        limiter = RateLimiter(2)
        times = (0.0, 0.5, 0.9, 1.0, 1.4, 1.5)
        admitted = [limiter.admit(now) for now in times]
        self.assertEqual([True, True, False, True, False, True], admitted)

    def test_calls_above_a_limit_get_a_retry_delay(self):
        limiters = (RateLimiter(2), RateLimiter(1))
        platform = Platform(ObjectStore(10), InstanceList(0.0), *limiters)
        statuses = [platform.handle_call(self.put(name)).status for name in "ab"]
        self.assertEqual([200, 429], statuses)
        listing = self.put("")._replace(method="GET", path=("v1", "instances"))
        rejected = platform.handle_call(listing)
        self.assertEqual((429, 1), (rejected.status, rejected.retry_after_s))

    def put(self, name: str) -> Request:
        connection = OpenConnection(None, ("127.0.0.1", 1))
        path = ("v1", "objects", "kind", name)
        return Request("PUT", path, {"expected": "0"}, b"", connection)


class OpenConnection(Connection):
    """A connection without a socket that counts as open."""

    def is_open(self) -> bool:
        return True


class InstanceListTests(testtools.TestCase):
    def test_each_change_is_visible_after_the_lag(self):
        listing = InstanceList(2.0)
        first = [ListedInstance("a", "127.0.0.1:1", "z")]
        listing.replace(first, now=10.0)
        listing.replace([], now=11.0)
        self.assertEqual([], listing.visible_at(11.9))
        self.assertEqual(first, listing.visible_at(12.0))
        self.assertEqual([], listing.visible_at(13.0))


class PlatformTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        flags = ("--calls_per_s=100000", "--listing_lag_s=0.2")
        cls.cluster = cls.enterClassContext(
            Cluster("demo", instances=0, searcher_processes=1, platform_flags=flags)
        )
        cls.cluster.start_standins()

    def setUp(self):
        super().setUp()
        self.connection = open_connection(self.cluster.platform_address)
        self.addCleanup(self.connection.close)
        self.addCleanup(self.cluster.platform.clear_faults)
        self.kind = self.id().rpartition(".")[2]
        self.path = f"/v1/objects/{self.kind}/a"

    def call(self, method: str, path: str, body: bytes | None = None):
        return call(self.connection, method, path, body)

    def put(self, expected: int, body: bytes = b"1"):
        return self.call("PUT", f"{self.path}?expected={expected}", body)

    def test_objects(self):
        self.assertEqual(404, self.call("GET", self.path)[0])
        status, written = self.put(0)
        self.assertEqual(200, status)
        version = written["version"]
        self.assertEqual((409, {"version": version}), self.put(0))
        status, found = self.call("GET", self.path)
        self.assertEqual(b"1", base64.b64decode(found["value"]))
        status, listed = self.call("GET", f"/v1/objects/{self.kind}")
        self.assertEqual([found], listed["objects"])
        self.assertEqual(413, self.put(version, b"x" * 1_000_001)[0])
        self.assertEqual(409, self.call("DELETE", f"{self.path}?expected=1000000")[0])
        self.assertEqual(200, self.call("DELETE", f"{self.path}?expected={version}")[0])
        self.assertEqual((409, {"version": 0}), self.put(version))

    def test_name_with_a_quoted_slash(self):
        path = f"/v1/objects/{self.kind}/service%2F0%20%C3%A4"
        self.assertEqual(200, self.call("PUT", f"{path}?expected=0", b"1")[0])
        self.assertEqual("service/0 ä", self.call("GET", path)[1]["name"])

    def test_watch_resumes_from_a_version(self):
        version = self.put(0)[1]["version"]
        path = f"/v1/watch/{self.kind}?wait_ms=0&after="
        status, changes = self.call("GET", f"{path}{version - 1}")
        self.assertEqual(["a"], [event["name"] for event in changes["events"]])
        status, nothing = self.call("GET", f"{path}{changes['version']}")
        self.assertEqual((200, []), (status, nothing["events"]))

    def test_invalid_parameter_is_rejected(self):
        self.assertEqual(400, self.call("PUT", f"{self.path}?expected=x", b"")[0])
        self.assertEqual(400, self.call("PUT", self.path, b"")[0])

    def test_instance_list(self):
        listed = {"instance": "i", "address": "127.0.0.1:1", "zone": "z"}
        listed["leaving"] = True
        self.cluster.platform.set_instances([listed])
        wait_until(
            lambda: self.call("GET", "/v1/instances")[1]["instances"] == [listed],
            "the instance is listed",
        )

    def test_lost_reply_after_effect(self):
        fault = Fault(FaultKind.DROP_REPLY_AFTER_EFFECT, self.kind, count=1)
        self.cluster.platform.set_faults([fault])
        self.assertRaises(http.client.RemoteDisconnected, self.put, 0)
        self.assertEqual(200, self.call("GET", self.path)[0])
        entries = self.cluster.platform.journal()["entries"]
        own = [entry for entry in entries if entry["kind"] == self.kind]
        self.assertEqual([False], [entry["replied"] for entry in own])

    def test_outage(self):
        self.cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
        self.assertEqual(503, self.call("GET", self.path)[0])
        self.cluster.platform.clear_faults()
        self.assertEqual(404, self.call("GET", self.path)[0])

    def test_frozen_write_takes_effect_after_its_sender_gave_up(self):
        self.cluster.platform.set_faults([Fault(FaultKind.FREEZE, self.kind)])
        abandoned = open_connection(self.cluster.platform_address)
        abandoned.request("PUT", f"{self.path}?expected=0", b"1")
        self.assertEqual(404, self.call("GET", "/v1/objects/other/a")[0])
        abandoned.close()
        self.cluster.platform.clear_faults()
        wait_until(lambda: self.call("GET", self.path)[0] == 200, "it is written")

    def test_refuse(self):
        self.cluster.platform.set_faults([Fault(FaultKind.REFUSE)])
        disconnected = http.client.RemoteDisconnected
        self.assertRaises(disconnected, self.call, "GET", self.path)

    def test_stale_read(self):
        version = self.put(0)[1]["version"]
        self.put(version, b"2")
        self.cluster.platform.set_faults(
            [Fault(FaultKind.STALE_READ, self.kind, version=version)]
        )
        self.assertEqual(version, self.call("GET", self.path)[1]["version"])

    def test_silent_connection_and_a_new_one(self):
        self.call("GET", self.path)
        self.cluster.platform.set_faults([Fault(FaultKind.SILENT_CONNECTION)])
        self.connection.request("GET", self.path)
        newer = open_connection(self.cluster.platform_address)
        self.addCleanup(newer.close)
        self.assertEqual(404, call(newer, "GET", self.path)[0])
        self.connection.sock.setblocking(False)
        self.assertRaises(BlockingIOError, self.connection.sock.recv, 1)

    def test_counters(self):
        before = self.cluster.platform.counters()["by_name"].get("list", 0)
        self.call("GET", f"/v1/objects/{self.kind}")
        after = self.cluster.platform.counters()["by_name"]["list"]
        self.assertGreater(after, before)
