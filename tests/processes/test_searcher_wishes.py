"""Searchers that leave, ask for time or answer twice, against real processes."""

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

# Well inside the time that a leaving searcher still serves.
LEFT_WITHIN_S = 0.5
REST_S = 8.0
COPY_DELAY_S = 0.03


class _Cluster(testtools.TestCase):
    instances = 2

    def setUp(self):
        super().setUp()
        self.cluster = HostedCluster(instances=self.instances, shards=2)
        self.addCleanup(self.cluster.__exit__, None, None, None)
        self.cluster.start()
        self.http = urllib3.PoolManager(retries=False)
        self.count = 0
        for name in self.cluster.instances_by_name:
            wait_until(lambda name=name: self.is_complete(name), f"all of {name}")

    def is_complete(self, name):
        # Every searcher of a service must be known, or none is left to turn to.
        is_known = self.known_entries(name) >= 9
        return is_known and self.call("/fetch/2f", name)[1].status == 200

    def call(self, path, name="instance-0"):
        self.count += 1
        request_id = f"r{self.count}"
        address = self.cluster.instances_by_name[name].caller_address
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2000"}
        url = f"http://{address}{path}"
        return request_id, self.http.request("GET", url, headers=headers, timeout=10.0)

    def events(self, replica_id):
        return [
            each
            for each in self.cluster.read_journal()
            if each["replica"] == replica_id
        ]

    def list_others(self, replica_id, is_listed):
        """List or unlist the other searchers of its service.

        An instance prefers one of them: alone, each instance must ask the searcher
        that a test is about, whatever its zone.
        """
        others = [
            f"i-records-{zone}"
            for zone in ("north", "south", "hills")
            if f"i-records-{zone}" != replica_id
        ]
        for other in others:
            self.cluster.set_behaviour(other, is_listed=is_listed)
        known = 9 if is_listed else 9 - len(others)
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.known_entries(name) == known,
                f"{name} to know {known} entries",
            )

    def known_entries(self, name):
        address = self.cluster.instances_by_name[name].operator_address
        status = self.http.request("GET", f"http://{address}/v1/status", timeout=10.0)
        return status.json()["replicas"]


class LeavingSearcherTests(_Cluster):
    def test_it_is_left_once_an_answer_said_so_and_stays_left(self):
        replica_id = "i-records-north"
        self.list_others(replica_id, False)
        self.cluster.set_behaviour(replica_id, is_leaving=True)
        # Both instances must meet it, each for itself.
        for name in self.cluster.instances_by_name:
            wait_until(
                lambda name=name: self.is_told(name, replica_id), "its leave to be told"
            )
        told_at = time.time()
        # The store goes on saying that it is ready.
        self.list_others(replica_id, True)
        deadline = time.time() + 3.0
        while time.time() < deadline:
            for name in self.cluster.instances_by_name:
                self.assertEqual(200, self.call("/fetch/2f", name)[1].status)
        late = [
            each
            for each in self.events(replica_id)
            if each["at"] > told_at + LEFT_WITHIN_S
        ]
        self.assertEqual([], late)

    def is_told(self, name, replica_id):
        self.call("/fetch/2f", name)
        address = self.cluster.instances_by_name[name].operator_address
        reply = self.http.request("GET", f"http://{address}/metrics", timeout=10.0)
        return b'almondspool_upstream_wishes_total{wish="leaving"}' in reply.data


class RestingSearcherTests(_Cluster):
    instances = 1

    def test_at_most_two_requests_reach_it_before_the_end_of_its_time(self):
        replica_id = "i-records-south"
        self.list_others(replica_id, False)
        self.cluster.set_behaviour(replica_id, is_full=True, rest=str(REST_S))
        wait_until(
            lambda: self.call("/fetch/2f") and self.events_of("rejected", replica_id),
            "a rejection",
        )
        asked_at = self.events_of("rejected", replica_id)[0]["at"]
        # Nobody else is left to turn to, so without the rule it is asked each time.
        for _ in range(20):
            self.assertEqual(503, self.call("/fetch/2f")[1].status)
            time.sleep(0.05)
        self.list_others(replica_id, True)
        served = 0
        while time.time() < asked_at + REST_S:
            self.assertEqual(200, self.call("/fetch/2f")[1].status)
            served += 1
        self.assertTrue(served > 0)
        reached = [
            each
            for each in self.events(replica_id)
            if asked_at + 0.5 < each["at"] < asked_at + REST_S - 0.1
        ]
        self.assertTrue(len(reached) <= 2, reached)

    def test_all_of_a_service_resting_refuses_with_the_time_left(self):
        for zone in ("north", "south", "hills"):
            self.cluster.set_behaviour(
                f"i-records-{zone}", is_full=True, rest=str(REST_S)
            )

        def is_refused_for_long():
            _, reply = self.call("/fetch/2f")
            return float(reply.headers.get("Retry-After", 0.0)) > 1.0

        wait_until(is_refused_for_long, "a refusal with the time left")
        began_at = time.monotonic()
        _, reply = self.call("/fetch/2f")
        self.assertEqual(503, reply.status)
        self.assertTrue(time.monotonic() - began_at < 0.5)

    def events_of(self, event, replica_id):
        return [each for each in self.events(replica_id) if each["event"] == event]


class _TwiceAnswering(threading.Thread):
    """A searcher that sends each answer a second time, a little later."""

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
                piece = connection.recv(65_536)
            except OSError:
                return
            if not piece:
                return
            received += piece
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
            # The instance has closed it: the copy reaches nobody.
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


class SecondCopyTests(_Cluster):
    instances = 1

    def test_no_caller_gets_the_late_copy_of_anothers_answer(self):
        searcher = _TwiceAnswering()
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
        wait_until(lambda: self.known_entries("instance-0") == 10, "its entry")
        for zone in ("north", "south", "hills"):
            self.cluster.set_behaviour(f"i-records-{zone}", is_listed=False)
        wait_until(lambda: self.known_entries("instance-0") == 7, "it to be alone")
        from_twice = 0
        for _ in range(300):
            request_id, reply = self.call("/fetch/2f")
            self.assertEqual(200, reply.status)
            self.assertIn(request_id, reply.headers["Response-Signature"])
            if reply.headers["Response-Signature"].startswith("twice"):
                from_twice += 1
                self.assertEqual(request_id.encode(), reply.data)
            # Around the delay of the copy, before and after it.
            time.sleep((COPY_DELAY_S / 10) * (self.count % 20))
        self.assertTrue(from_twice > 20, from_twice)
        self.assertTrue(searcher.copies > 0)


class RestartedInstanceTests(_Cluster):
    def test_searcher_that_left_is_not_used_by_a_restarted_instance(self):
        replica_id = "i-records-north"
        self.cluster.set_behaviour(replica_id, is_listed=False)
        for name in self.cluster.instances_by_name:
            wait_until(lambda name=name: self.is_gone(name), f"{name} to see it gone")
        # It runs on, and the store is away when the instance comes back.
        self.cluster.set_store_fault(mode="busy")
        child = self.cluster.children_by_name["instance-1"]
        child.send_signal(signal.SIGKILL)
        child.wait()
        gone_at = time.time()
        child.start()
        wait_until(lambda: self.serves("instance-1"), "the restarted instance to serve")
        for _ in range(60):
            self.call("/fetch/2f", "instance-1")
        late = [each for each in self.events(replica_id) if each["at"] > gone_at]
        self.assertEqual([], late)

    def is_gone(self, name):
        return self.known_entries(name) == 8

    def serves(self, name):
        try:
            return self.call("/fetch/2f", name)[1].status == 200
        except urllib3.exceptions.HTTPError:
            return False
