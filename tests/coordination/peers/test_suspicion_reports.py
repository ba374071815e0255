from __future__ import annotations

import eventlet
import testtools

from almondspool.coordination.peers import suspicion_reports
from almondspool.coordination.peers.suspicion_reports import SuspicionReports
from almondspool.logs import EventLog
from almondspool.protocol.peer import Suspicion
from almondspool.transport.peer_channel import PeerMessage

SUSPICION = Suspicion("5f", 1, "s1", 5000)
PEERS = ("i-2", "i-3")
WAIT_S = 0.05


class Instance:
    """An instance that keeps the suspicions that it was told, and what it replied."""

    def __init__(self, send_all=lambda suspicion: ()):
        self.known = []
        self.replies = []
        self.log_lines = []
        log = EventLog(self.log_lines.append)
        self.reports = SuspicionReports(send_all, self.merge, log)

    def merge(self, suspicion):
        is_new = suspicion not in self.known
        self.known.append(suspicion)
        return is_new

    def receive(self, sender, suspicion, reply=None):
        reply = reply or self.replies.append
        self.reports.on_suspicion(PeerMessage(sender, suspicion, reply))


class SuspicionReportTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.patch(suspicion_reports, "MAX_CONFIRMATION_WAIT_S", WAIT_S)
        self.peers_by_name = {name: Instance() for name in PEERS}
        self.reporter = Instance(self.send_all)
        self.lost = set()
        self.delay_s = 0.0

    def send_all(self, suspicion):
        for name, peer in self.peers_by_name.items():
            if name not in self.lost:
                eventlet.spawn_after(self.delay_s, self.deliver, name, peer, suspicion)
        return PEERS

    def deliver(self, name, peer, suspicion):
        peer.receive("i-1", suspicion, lambda reply: self.reporter.receive(name, reply))

    def lines(self, event):
        return [line for line in self.reporter.log_lines if event in line]

    def test_report_returns_once_every_instance_knows(self):
        self.patch(suspicion_reports, "MAX_CONFIRMATION_WAIT_S", 30.0)
        self.delay_s = 0.2
        self.reporter.reports.report(SUSPICION)
        for peer in self.peers_by_name.values():
            self.assertEqual([SUSPICION], peer.known)
        self.assertEqual([], self.reporter.known)
        self.assertEqual([], self.lines("request.report_unconfirmed"))

    def test_instance_that_does_not_confirm_ends_the_wait(self):
        self.lost = {"i-3"}
        self.reporter.reports.report(SUSPICION)
        (line,) = self.lines("request.report_unconfirmed")
        self.assertIn("i-3", line)
        self.assertNotIn("i-2", line)

    def test_confirmation_after_the_wait_is_not_returned(self):
        self.delay_s = 2 * WAIT_S
        self.reporter.reports.report(SUSPICION)
        self.reporter.known.append(SUSPICION)
        eventlet.sleep(2 * WAIT_S)
        self.assertEqual([], self.reporter.replies)
        self.assertEqual(1, len(self.peers_by_name["i-2"].known))

    def test_known_suspicion_is_neither_confirmed_nor_logged_again(self):
        peer = self.peers_by_name["i-2"]
        for _ in range(2):
            peer.receive("i-1", SUSPICION)
        self.assertEqual([SUSPICION], peer.replies)
        self.assertEqual(1, len(peer.log_lines))

    def test_report_without_other_instances_returns(self):
        alone = Instance()
        alone.reports.report(SUSPICION)
        self.assertEqual([], alone.log_lines)

    def test_equal_reports_wait_for_the_same_confirmations(self):
        self.patch(suspicion_reports, "MAX_CONFIRMATION_WAIT_S", 30.0)
        report = self.reporter.reports.report
        for thread in [eventlet.spawn(report, SUSPICION) for _ in range(2)]:
            thread.wait()
        self.assertEqual([], self.lines("request.report_unconfirmed"))
        self.assertEqual([SUSPICION], self.peers_by_name["i-3"].known)
