"""Fleet of routers on virtual time, of which some are cut off from the upstreams."""

from __future__ import annotations

import random

from almondspool.logs import EventLog
from almondspool.protocol.exchange import (
    CallerRequest,
    ConnectionState,
    LegHandle,
    LegOutcome,
    LegReply,
    LegSender,
)
from almondspool.routing.reachability import UpstreamReachability
from almondspool.routing.relay import RelayPeer, RequestRelay
from almondspool.transport.timers import VirtualTimers
from tests.routing.routing_harness import HOST, RoutingHarness, leg_reply

ZONES = ("north", "south", "hills")
HOP_S = 0.002
CONNECT_TIMEOUT_S = 0.3


class _RelayHandle(LegHandle):
    def __init__(self, on_end):
        self.on_end = on_end
        self.run = None

    def end(self, reply):
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(reply)

    def cancel(self):
        if self.run is not None:
            self.run.cancel()
        self.end(LegReply(LegOutcome.CANCELLED))

    def detach(self, within_s):
        self.cancel()


class PeerSender(LegSender):
    """Passes relayed requests to the routers of the fleet.

    Attributes:
        down: Names of instances that cannot be connected to.
        dying: Names of instances whose connections break before an answer.
        sent: The names of the instances that requests were sent to, in order.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.down = set()
        self.dying = set()
        self.sent = []

    def send(self, replica, request, deadline_s, on_end):
        handle = _RelayHandle(on_end)
        name = replica.replica_id
        self.sent.append(name)
        if name in self.down:
            reply = LegReply(LegOutcome.NOT_SENT, detail="connect_timeout")
            self.fleet.timers.call_later(HOP_S, lambda: handle.end(reply))
            return handle

        def deliver():
            target = self.fleet.harness_by_name[name]
            handle.run = target.router.handle_relayed(
                self._decode(request, deadline_s), answer
            )
            if name in self.dying:
                handle.end(LegReply(LegOutcome.BROKEN, detail="reset"))

        def answer(reply):
            is_misdirected = reply.status == 421
            outcome = LegOutcome.MISDIRECTED if is_misdirected else LegOutcome.ANSWERED
            leg_answer = LegReply(outcome, reply.status, reply.headers, reply.body)
            self.fleet.timers.call_later(HOP_S, lambda: handle.end(leg_answer))

        self.fleet.timers.call_later(HOP_S, deliver)
        return handle

    def _decode(self, request, deadline_s):
        method, target, _ = request.head.split(b"\r\n")[0].decode().split()
        headers = ((b"Host", HOST.encode()),)
        return CallerRequest(
            method,
            target,
            HOST,
            headers,
            request.body,
            request.request_id,
            deadline_s,
            self.fleet.timers.now(),
        )

    def probe(self, replica, on_result):
        raise NotImplementedError

    def drop_waiting(self, replica):
        raise NotImplementedError

    def connection_state(self, replica):
        return ConnectionState.CONNECT


class StrandedFleet:
    """Instances with upstreams in common; any of them can be cut off.

    Attributes:
        harness_by_name: The router of each instance.
        reachability_by_name: What each instance believes of the upstreams.
        peers: The relays between the instances.
        cut: Names of the instances that are cut off.
        connect_count: Number of attempts to connect to upstreams.
    """

    def __init__(self, count, *routes):
        self.timers = VirtualTimers(start=100.0)
        self.rng = random.Random(5)
        self.peers = PeerSender(self)
        self.cut = set()
        self.connect_count = 0
        self.harness_by_name = {}
        self.reachability_by_name = {}
        for number in range(count):
            self._add(f"instance-{number}", ZONES[number % len(ZONES)], routes)

    def _add(self, name, zone, routes):
        harness = RoutingHarness(*routes, timers=self.timers, zone=zone)
        harness.sender.script = lambda replica: self._reply(name, replica)
        reachability = UpstreamReachability(
            self.timers,
            self.rng,
            harness.registry.all,
            lambda replica, on_end: self.connect(name, replica, on_end),
            lambda is_isolated: harness.router.relay_repeatable(),
            EventLog(harness.log_lines.append),
        )
        harness.router.set_relay(
            RequestRelay(
                name,
                zone,
                self.peers,
                lambda: reachability.is_isolated,
                lambda: self._peers_of(name),
                self.rng,
            )
        )
        self.harness_by_name[name] = harness
        self.reachability_by_name[name] = reachability

    def connect(self, name, replica, on_end):
        """Attempt to connect to an upstream, as an instance does."""
        self.connect_count += 1
        is_connected = name not in self.cut

        def end():
            reachability = self.reachability_by_name[name]
            reachability.record_connect(replica.replica_id, is_connected)
            on_end(is_connected)

        delay_s = HOP_S if is_connected else CONNECT_TIMEOUT_S
        self.timers.call_later(delay_s, end)

    def _reply(self, name, replica):
        if name not in self.cut:
            return (0.005, leg_reply(replica))

        def fail():
            reachability = self.reachability_by_name[name]
            reachability.record_connect(replica.replica_id, False)
            return LegReply(LegOutcome.NOT_SENT, detail="connect_timeout")

        return (CONNECT_TIMEOUT_S, fail)

    def _peers_of(self, name):
        return [
            RelayPeer(other, harness.context.selector._zone, f"{other}:1", 0.0, 1)
            for other, harness in self.harness_by_name.items()
            if other != name and not self.reachability_by_name[other].is_isolated
        ]

    def send(self, name, request_id, **fields):
        """Send a request to an instance; return a list that receives its answer."""
        return self.harness_by_name[name].start(request_id=request_id, **fields)

    def play(self, seconds, rate_s, names=None):
        """Send requests to all instances; return the share served by each."""
        answers_by_name = {name: [] for name in names or self.harness_by_name}
        started_at = self.timers.now()
        number = 0
        while self.timers.now() - started_at < seconds:
            for name, answers in answers_by_name.items():
                number += 1
                answers.append(self.send(name, f"{started_at}-{number}"))
            self.timers.advance(rate_s)
        self.timers.advance(2.0)
        return {
            name: sum(bool(each) and each[0][1].status == 200 for each in answers)
            / len(answers)
            for name, answers in answers_by_name.items()
        }
