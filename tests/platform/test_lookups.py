from __future__ import annotations

import json
import random

import testtools
from prometheus_client import CollectorRegistry, Counter

from almondspool.coordination.membership.entries import choose_addresses
from almondspool.platform.lookups import LookupCalls, LookupServices
from almondspool.protocol.exchange import CallerRequest
from almondspool.state.members import Member, MemberStatus, View


def member(number, zone, **changes):
    name = f"i{number}"
    found = Member(name, 1, zone, f"10.0.0.{number}:80", f"10.0.0.{number}:70")
    return found._replace(**changes)


class ChooseAddressesTests(testtools.TestCase):
    def choose(self, members, zone="a", limit=64):
        view = View({each.instance: each for each in members})
        return choose_addresses(view, members[0], zone, limit, random.Random(1))

    def test_callers_stay_in_their_zone(self):
        members = [member(1, "a"), member(2, "a"), member(3, "b")]
        self.assertEqual({"10.0.0.1:80", "10.0.0.2:80"}, set(self.choose(members)))

    def test_one_instance_alone_does_not_carry_a_zone(self):
        members = [member(1, "a"), member(2, "b"), member(3, "b")]
        self.assertEqual(3, len(self.choose(members)))

    def test_unknown_zone_gets_all(self):
        members = [member(1, "a"), member(2, "b")]
        self.assertEqual(2, len(self.choose(members, "elsewhere")))

    def test_suspect_leaving_dead_and_unready_are_left_out(self):
        members = [
            member(1, "a"),
            member(2, "a"),
            member(3, "a", status=MemberStatus.SUSPECT),
            member(4, "a", status=MemberStatus.LEAVING),
            member(5, "a", status=MemberStatus.DEAD),
            member(6, "a", ready=False),
        ]
        self.assertEqual({"10.0.0.1:80", "10.0.0.2:80"}, set(self.choose(members)))

    def test_own_address_is_the_last_resort(self):
        members = [member(1, "a", status=MemberStatus.LEAVING)]
        self.assertEqual(("10.0.0.1:80",), self.choose(members))

    def test_limit_and_spread(self):
        members = [member(number, "a") for number in range(1, 100)]
        self.assertEqual(64, len(set(self.choose(members))))


class LookupCallTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.is_ready = True
        self.asked = []
        registry = CollectorRegistry()
        Counter("seen", "Seen.", registry=registry).inc()
        self.calls = LookupCalls(
            LookupServices(
                self.addresses,
                lambda: self.is_ready,
                5.0,
                registry,
                lambda: {"ready": self.is_ready},
            )
        )

    def addresses(self, zone, limit):
        self.asked.append(zone)
        return ("10.0.0.1:80",) if zone != "none" else ()

    def call(self, target):
        answers = []
        request = CallerRequest("GET", target, "h", (), b"", "", None, 0.0)
        self.calls.handle(request, answers.append)
        return answers[0]

    def test_look_up(self):
        reply = self.call("/api/resolve?name=h.example&region=r&zone=perth-north")
        body = json.loads(reply.body)
        self.assertEqual({"addrs": ["10.0.0.1:80"], "ttl_s": 5.0}, body)
        self.assertEqual(["perth-north"], self.asked)
        self.assertIn((b"Content-Type", b"application/json"), reply.headers)

    def test_look_up_without_any_address_is_a_failure(self):
        self.assertEqual(503, self.call("/api/resolve?zone=none").status)

    def test_readiness(self):
        self.assertEqual(200, self.call("/api/ready").status)
        self.is_ready = False
        self.assertEqual(503, self.call("/api/ready").status)

    def test_metrics_status_and_unknown(self):
        self.assertIn(b"seen_total 1.0", self.call("/metrics").body)
        self.assertEqual({"ready": True}, json.loads(self.call("/v1/status").body))
        self.assertEqual(404, self.call("/other").status)
