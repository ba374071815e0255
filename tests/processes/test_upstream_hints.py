"""Tests of searchers whose replies announce a leave or a backoff, or come twice."""

from __future__ import annotations

import signal
import socket
import threading
import time

import testtools
import urllib3

from almondspool.platform.store import ObjectStoreClient
from almondspool.standins.hosted_cluster import HOST, HostedCluster
from tests.processes.support import wait_until

# Allowed for requests in flight; much less than the time for which a leaving searcher
# still serves.
MAX_IN_FLIGHT_S = 0.5
# Retry-After value of a rejection.
BACKOFF_S = 8.0
# The platform's window for limits, and the time after which an instance must keep one.
LIMIT_WINDOW_S = 4.0
LIMIT_KNOWN_AFTER_S = 0.5
# How long a searcher names its limit.
LIMITED_S = 7.0
# Time between a reply and its copy.
COPY_DELAY_S = 0.03


class _HostedTestCase(testtools.TestCase):
    instance_count = 2

    def setUp(self):
        super().setUp()
        self.cluster = HostedCluster(instances=self.instance_count, shards=2)
        self.addCleanup(self.cluster.__exit__, None, None, None)
        self.cluster.start()
        self.http = urllib3.PoolManager(retries=False)
        self.count = 0
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.is_complete(name),
                f"{name} knows all searchers and serves",
            )

    def is_complete(self, name):
        # Every searcher of a service must be known, or there is no alternative to use.
        is_known = self.count_known_entries(name) >= 9
        return is_known and self.call("/fetch/2f", name)[1].status == 200

    def call(self, path, name="instance-0"):
        self.count += 1
        request_id = f"r{self.count}"
        address = self.cluster.instances_by_name[name].caller_address
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2000"}
        url = f"http://{address}{path}"
        return request_id, self.http.request("GET", url, headers=headers, timeout=10.0)

    def events(self, replica_id):
        """Return the journal entries of requests that a searcher ran or rejected."""
        return [
            each
            for each in self.cluster.read_journal()
            if each["replica"] == replica_id
        ]

    def set_others_listed(self, replica_id, is_listed):
        """List or unlist the other searchers of a searcher's service.

        An instance may prefer another searcher. Without the others, it has to use this
        one, whatever its zone.
        """
        others = [
            f"i-records-{zone}"
            for zone in ("north", "south", "hills")
            if f"i-records-{zone}" != replica_id
        ]
        for other in others:
            self.cluster.set_behaviour(other, is_listed=is_listed)
        expected_count = 9 if is_listed else 9 - len(others)
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.count_known_entries(name) == expected_count,
                f"{name} knows {expected_count} entries",
            )

    def count_known_entries(self, name):
        """Return how many searchers an instance knows."""
        address = self.cluster.instances_by_name[name].operator_address
        status = self.http.request("GET", f"http://{address}/v1/status", timeout=10.0)
        return status.json()["replicas"]


class LimitedSearcherTests(_HostedTestCase):
    def test_searcher_gets_no_more_than_its_limit_from_all_instances_together(self):
        replica_id = "i-records-north"
        limit = 2.0
        self.cluster.set_behaviour(replica_id, limit=str(limit))
        begun_at = time.time()
        while time.time() < begun_at + LIMITED_S:
            for name in self.cluster.instances_by_name:
                _, reply = self.call("/fetch/2f", name)
                self.assertEqual(200, reply.status)
                self.assertNotIn("Server-Limit", reply.headers)
        arrivals = [
            each["at"]
            for each in self.events(replica_id)
            if each["at"] > begun_at + LIMIT_KNOWN_AFTER_S
        ]
        most = max(
            sum(at <= other < at + LIMIT_WINDOW_S for other in arrivals)
            for at in arrivals
        )
        self.assertTrue(most <= 1.5 * limit * LIMIT_WINDOW_S + 5, most)


class LeavingSearcherTests(_HostedTestCase):
    def test_searcher_gets_no_requests_after_an_answer_says_that_it_leaves(self):
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
        late = [
            each
            for each in self.events(replica_id)
            if each["at"] > recorded_at + MAX_IN_FLIGHT_S
        ]
        self.assertEqual([], late)

    def has_recorded_leaving(self, name, replica_id):
        self.call("/fetch/2f", name)
        address = self.cluster.instances_by_name[name].operator_address
        reply = self.http.request("GET", f"http://{address}/metrics", timeout=10.0)
        return b'almondspool_upstream_wishes_total{wish="leaving"}' in reply.data


class BackoffTests(_HostedTestCase):
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


class LateDuplicateTests(_HostedTestCase):
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


class RestartedInstanceTests(_HostedTestCase):
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
