"""Acceptance over HTTP against a platform process with injected faults."""

from __future__ import annotations

import random
import threading

import testtools
from returns.result import Success

from almondspool.codes import ResultCode
from almondspool.coordination.configuration.acceptance import Acceptor
from almondspool.coordination.configuration.configuration import Configuration
from almondspool.protocol.document import section_digest
from almondspool.protocol.http_platform import HttpPlatform, make_http_platform
from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME, decode_manifest
from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.launcher import Cluster
from tests.configuration_session import section_text

TIMEOUT_S = 10.0
SHORT_TIMEOUT_S = 1.0
KIND = "status"
# A watch after this version gets no events.
FUTURE_VERSION = 1_000_000


class AcceptanceProcessTests(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        flags = ("--calls_per_s=100000",)
        cls.cluster = cls.enterClassContext(
            Cluster("demo", instances=0, searcher_processes=1, platform_flags=flags)
        )
        cls.cluster.start_standins()

    def setUp(self):
        super().setUp()
        self.addCleanup(self.cluster.platform.clear_faults)
        self.platform = make_http_platform(self.cluster.platform_address, TIMEOUT_S)
        self.configuration = Configuration("perth-1", random.Random(1), 0.0)
        self.acceptor = Acceptor(
            self.platform,
            self.configuration,
            random.Random(1),
            lambda seconds: None,
            lambda accepted: self.configuration.on_accepted(*accepted, 0.0),
        )
        self.team = self.id().rpartition(".")[2].replace("_", "-")[5:40]
        number = sum(self.team.encode())
        self.texts = [section_text(self.team, number, 100 + n) for n in range(3)]
        first = self.accept(0, "", "first")
        self.assertEqual(ResultCode.OK, first.code, first.message)

    def accept(self, index, base, token):
        text = self.texts[index].encode()
        return self.acceptor.accept(self.team, text, base, f"{self.team}-{token}")

    def digest(self, index):
        return section_digest(self.texts[index].encode())

    def manifest(self):
        found = self.platform.get(MANIFEST_KIND, MANIFEST_NAME).unwrap()
        return decode_manifest(found.value)

    def test_lost_reply_is_settled(self):
        fault = Fault(
            FaultKind.DROP_REPLY_AFTER_EFFECT, MANIFEST_KIND, method="PUT", count=1
        )
        before = self.manifest().generation
        self.cluster.platform.set_faults([fault])
        accepted = self.accept(1, self.digest(0), "lost")
        self.assertEqual(ResultCode.OK, accepted.code, accepted.message)
        self.assertEqual(2, accepted.attempts)
        self.assertEqual(before + 1, self.manifest().generation)

    def test_stale_reads_never_undo(self):
        stale_version = self.platform.list(MANIFEST_KIND).unwrap().version
        self.accept(1, self.digest(0), "second")
        fault = Fault(FaultKind.STALE_READ, MANIFEST_KIND, version=stale_version)
        self.cluster.platform.set_faults([fault])
        stale = self.accept(2, self.digest(0), "third")
        self.assertEqual(ResultCode.PLATFORM_REPLY_INVALID, stale.code)
        self.cluster.platform.clear_faults()
        entry = self.manifest().entries_by_team[self.team]
        self.assertEqual(self.digest(1), entry.digest)

    def test_damaged_replies_and_outage(self):
        for kind in (FaultKind.MALFORMED, FaultKind.TRUNCATED, FaultKind.OUTAGE):
            fault = Fault(kind, MANIFEST_KIND, method="GET")
            self.cluster.platform.set_faults([fault])
            refused = self.accept(1, self.digest(0), str(kind))
            self.assertEqual(6, refused.code // 100, refused.message)
        self.cluster.platform.clear_faults()
        accepted = self.accept(1, self.digest(0), "after")
        self.assertEqual(ResultCode.OK, accepted.code)

    def test_watch_gives_each_generation(self):
        listed = self.platform.list(MANIFEST_KIND).unwrap()
        self.accept(1, self.digest(0), "second")
        self.accept(2, self.digest(1), "third")
        watched = self.platform.watch(MANIFEST_KIND, listed.version, 1.0).unwrap()
        generations = [
            decode_manifest(event.value).generation for event in watched.events
        ]
        last = self.manifest().generation
        self.assertEqual([last - 1, last], generations)

    def watch_at_once(self, platform):
        """Run three watches concurrently; return whether each succeeded."""
        results = []
        threads = [
            threading.Thread(
                target=lambda: results.append(platform.watch(KIND, FUTURE_VERSION, 0.1))
            )
            for _ in range(3)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return [isinstance(result, Success) for result in results]

    def call_on_silent_connections(self):
        platform = make_http_platform(self.cluster.platform_address, SHORT_TIMEOUT_S)
        self.assertEqual([True] * 3, self.watch_at_once(platform))
        self.cluster.platform.set_faults([Fault(FaultKind.SILENT_CONNECTION)])
        first = platform.watch(KIND, FUTURE_VERSION, 0.1)
        self.assertNotIsInstance(first, Success)
        return self.watch_at_once(platform)

    def test_silent_connections_cost_one_call(self):
        self.assertEqual([True] * 3, self.call_on_silent_connections())

    def test_detects_connections_that_are_not_retired(self):
        self.patch(HttpPlatform, "_retire", lambda self, pool: None)
        self.assertIn(False, self.call_on_silent_connections())
