"""Tests of searchers whose replies announce a leave or a backoff, or come twice."""

from __future__ import annotations

import signal
import socket
import threading
import time

import urllib3

from almondspool.platform.store import ObjectStoreClient
from tests.processes.hosted_support import HostedTestCase
from tests.processes.support import VARIANTS_PACKAGE, wait_until

# Allowed for requests in flight; much less than the time for which a leaving searcher
# still serves.
MAX_IN_FLIGHT_S = 0.5
# Retry-After value of a rejection.
BACKOFF_S = 8.0
# Time between a reply and its copy.
COPY_DELAY_S = 0.03


class _LeavingSearcherTestCase(HostedTestCase):
    def requests_after_leaving(self):
        """Return the requests of a searcher after an answer said that it leaves."""
        replica_id = "i-records-north"
        self.set_others_listed(replica_id, False)
        self.cluster.set_behaviour(replica_id, is_leaving=True)
        # Each instance must get such an answer itself.
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.has_recorded_leaving(name, replica_id),
                "the instance has recorded the leave",
            )
        recorded_at = time.time()
        # The store still lists the searcher as ready.
        self.set_others_listed(replica_id, True)
        deadline = time.time() + 3.0
        while time.time() < deadline:
            for name in self.cluster.instances_by_name:
                self.assertEqual(200, self.call("/fetch/2f", name)[1].status)
        return [
            each
            for each in self.events(replica_id)
            if each["at"] > recorded_at + MAX_IN_FLIGHT_S
        ]

    def has_recorded_leaving(self, name, replica_id):
        self.call("/fetch/2f", name)
        address = self.cluster.instances_by_name[name].operator_address
        reply = self.http.request("GET", f"http://{address}/metrics", timeout=10.0)
        return b'almondspool_upstream_wishes_total{wish="leaving"}' in reply.data


class LeavingSearcherTests(_LeavingSearcherTestCase):
    def test_searcher_gets_no_requests_after_an_answer_says_that_it_leaves(self):
        self.assertEqual([], self.requests_after_leaving())


class LeavesIgnoredTests(_LeavingSearcherTestCase):
    daemon_module = f"{VARIANTS_PACKAGE}.hosted_leaves_ignored"

    def test_requests_after_an_answer_says_that_it_leaves_are_found(self):
        self.assertNotEqual([], self.requests_after_leaving())


class BackoffTests(HostedTestCase):
    instance_count = 1

    def test_at_most_two_requests_reach_a_searcher_during_its_backoff(self):
        replica_id = "i-records-south"
        self.set_others_listed(replica_id, False)
        self.cluster.set_behaviour(replica_id, is_full=True, rest=str(BACKOFF_S))
        wait_until(
            lambda: (
                self.call("/fetch/2f") and self.events_of_kind("rejected", replica_id)
            ),
            "a request is rejected",
        )
        rejected_at = self.events_of_kind("rejected", replica_id)[0]["at"]
        # There is no alternative, so without the backoff each request would reach the
        # searcher.
        for _ in range(20):
            self.assertEqual(503, self.call("/fetch/2f")[1].status)
            time.sleep(0.05)
        self.set_others_listed(replica_id, True)
        served = 0
        while time.time() < rejected_at + BACKOFF_S:
            self.assertEqual(200, self.call("/fetch/2f")[1].status)
            served += 1
        self.assertTrue(served > 0)
        reached = [
            each
            for each in self.events(replica_id)
            if rejected_at + 0.5 < each["at"] < rejected_at + BACKOFF_S - 0.1
        ]
        self.assertTrue(len(reached) <= 2, reached)

    def test_backoff_of_all_searchers_refuses_with_the_time_left(self):
        for zone in ("north", "south", "hills"):
            self.cluster.set_behaviour(
                f"i-records-{zone}", is_full=True, rest=str(BACKOFF_S)
            )

        def is_refused_for_long():
            _, reply = self.call("/fetch/2f")
            return float(reply.headers.get("Retry-After", 0.0)) > 1.0

        wait_until(is_refused_for_long, "a request is refused with the time left")
        started_at = time.monotonic()
        _, reply = self.call("/fetch/2f")
        self.assertEqual(503, reply.status)
        self.assertTrue(time.monotonic() - started_at < 0.5)

    def events_of_kind(self, event, replica_id):
        return [each for each in self.events(replica_id) if each["event"] == event]


class _DuplicatingSearcher(threading.Thread):
    """A searcher that sends each reply a second time after COPY_DELAY_S.

    Attributes:
        address: ``ip:port`` that it listens on.
        copies: Number of copies sent.
    """

    def __init__(self):
        super().__init__(daemon=True)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.copies = 0

    def run(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def close(self):
        self._listener.close()

    def _serve(self, connection):
        received = b""
        while True:
            try:
                data = connection.recv(65_536)
            except OSError:
                return
            if not data:
                return
            received += data
            while b"\r\n\r\n" in received:
                head, _, received = received.partition(b"\r\n\r\n")
                reply = self._answer(head)
                connection.sendall(reply)
                threading.Timer(
                    COPY_DELAY_S, self._send_copy, (connection, reply)
                ).start()

    def _send_copy(self, connection, reply):
        try:
            connection.sendall(reply)
            self.copies += 1
        except OSError:
            # The instance has closed the connection, so the copy cannot reach a caller.
            return

    def _answer(self, head):
        lines = [line.partition(b": ") for line in head.split(b"\r\n")[1:]]
        headers = {name.lower(): value for name, _, value in lines}
        request_id = headers[b"request-id"]
        return (
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: twice.%s\r\n"
            b"Keep-Alive: timeout=20\r\nContent-Length: %d\r\n\r\n%s"
            % (request_id, request_id, len(request_id), request_id)
        )


class LateDuplicateTests(HostedTestCase):
    instance_count = 1

    def test_no_caller_gets_the_late_copy_of_another_answer(self):
        searcher = _DuplicatingSearcher()
        searcher.start()
        self.addCleanup(searcher.close)
        entry = {
            "service": "records",
            "address": searcher.address,
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "seq_no": 1,
        }
        store = ObjectStoreClient(self.cluster.store_address, lambda *_: None)
        store.create("servers", "i-records-twice", entry)
        wait_until(
            lambda: self.count_known_entries("instance-0") == 10, "the entry is known"
        )
        for zone in ("north", "south", "hills"):
            self.cluster.set_behaviour(f"i-records-{zone}", is_listed=False)
        wait_until(
            lambda: self.count_known_entries("instance-0") == 7,
            "the other entries are removed",
        )
        duplicated = 0
        for _ in range(300):
            request_id, reply = self.call("/fetch/2f")
            self.assertEqual(200, reply.status)
            self.assertIn(request_id, reply.headers["Response-Signature"])
            if reply.headers["Response-Signature"].startswith("twice"):
                duplicated += 1
                self.assertEqual(request_id.encode(), reply.data)
            # Vary the pause around the delay of the copy, below and above it.
            time.sleep((COPY_DELAY_S / 10) * (self.count % 20))
        self.assertTrue(duplicated > 20, duplicated)
        self.assertTrue(searcher.copies > 0)


class RestartedInstanceTests(HostedTestCase):
    def test_searcher_that_left_is_not_used_by_a_restarted_instance(self):
        replica_id = "i-records-north"
        self.cluster.set_behaviour(replica_id, is_listed=False)
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.has_removed_entry(name),
                f"{name} has removed the entry",
            )
        # The searcher keeps running, and the store is unavailable when the instance
        # restarts.
        self.cluster.set_store_fault(mode="busy")
        child = self.cluster.children_by_name["instance-1"]
        child.send_signal(signal.SIGKILL)
        child.wait()
        killed_at = time.time()
        child.start()
        wait_until(lambda: self.serves("instance-1"), "the restarted instance serves")
        for _ in range(60):
            self.call("/fetch/2f", "instance-1")
        late = [each for each in self.events(replica_id) if each["at"] > killed_at]
        self.assertEqual([], late)

    def has_removed_entry(self, name):
        return self.count_known_entries(name) == 8

    def serves(self, name):
        try:
            return self.call("/fetch/2f", name)[1].status == 200
        except urllib3.exceptions.HTTPError:
            return False
