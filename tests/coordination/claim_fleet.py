"""Claims tasks of several instances that pass asks on, under virtual time."""

from __future__ import annotations

import random

import eventlet
from eventlet.event import Event
from returns.result import Failure

from almondspool.coordination.claims.claims import ClaimState
from almondspool.coordination.claims.claims_task import ClaimPeers, make_claims_task
from almondspool.errors import PlatformError
from almondspool.logs import EventLog
from almondspool.protocol.peer import ClaimAsk, ClaimReply
from almondspool.transport.peer_channel import PeerMessage
from almondspool.transport.timers import TimerService, VirtualTimers
from tests.coordination.fake_platform import FakePlatform

RETENTION_S = 3600
STEP_S = 0.001
MESSAGE_S = 0.001
CALL_S = 0.001


class Clock(TimerService):
    """The fleet's timers as one instance sees them; none fires while it is frozen."""

    def __init__(self, node):
        self.node = node
        self.timers = node.fleet.timers

    def now(self):
        return self.timers.now()

    def wall_time(self):
        return self.timers.wall_time()

    def call_later(self, delay_s, callback):
        return self.timers.call_later(delay_s, lambda: self.node.do(callback))

    def subscribe(self, interval_s, callback):
        return self.timers.subscribe(interval_s, lambda: self.node.do(callback))


class Calls:
    """The fleet's platform as one instance calls it."""

    def __init__(self, node):
        self.node = node
        self.platform = node.fleet.platform

    def get(self, kind, name):
        self.node.wait()
        if self.node.is_cut_off:
            return Failure(PlatformError("cut off"))
        return self.node.note("get", self.platform.get(kind, name))

    def put(self, kind, name, value, expected_version):
        self.node.sleep(CALL_S)
        self.node.wait()
        if self.node.is_cut_off:
            return Failure(PlatformError("cut off"))
        result = self.platform.put(kind, name, value, expected_version)
        self.node.note("put", result)
        if self.node.freezes_after_put:
            self.node.freeze()
        self.node.wait()
        return result


class Node:
    """One instance: it is frozen or killed by the test."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.is_frozen = False
        self.is_cut_off = False
        self.freezes_after_put = False
        self.resumed = Event()
        self.waiting = []
        self.holder = ""
        self.task = make_claims_task(
            Calls(self),
            Clock(self),
            EventLog(self.write),
            name,
            1,
            RETENTION_S,
            lambda owner, _: owner not in fleet.dead,
            random.Random(1),
            ClaimPeers(self.send, lambda bucket: self.holder),
        )

    def write(self, line):
        now = self.fleet.timers.now()
        self.fleet.lines.append(f"{now:9.3f}s instance={self.name} {line}")

    def note(self, call, result):
        outcome = result.map(lambda found: f"version_{found.version}").value_or(None)
        outcome = outcome or result.failure().code.name
        self.write(f"event=platform.call call={call} result={outcome}")
        return result

    def do(self, action):
        """Act now, or on resuming if frozen."""
        if self.is_frozen:
            self.waiting.append(action)
        else:
            action()

    def wait(self):
        while self.is_frozen:
            self.resumed.wait()

    def sleep(self, duration_s):
        self.fleet.timers.sleep(duration_s)

    def freeze(self):
        if not self.is_frozen:
            self.is_frozen = True
            self.write("event=test.frozen")

    def resume(self):
        if not self.is_frozen:
            return
        self.is_frozen = self.freezes_after_put = False
        self.write("event=test.resumed")
        self.resumed.send()
        self.resumed = Event()
        waiting, self.waiting = self.waiting, []
        for action in waiting:
            action()

    def send(self, instance, message):
        other = self.fleet.nodes_by_name[instance]
        item = PeerMessage(
            self.name, message, lambda reply: other.send(self.name, reply)
        )
        state = (message.op if isinstance(message, ClaimAsk) else message).state
        self.write(
            f"event=peer.sent to={instance} type={type(message).__name__} state={state}"
        )
        deliver = lambda: other.do(lambda: other.take(item))  # noqa: E731
        self.fleet.timers.call_later(MESSAGE_S, deliver)
        return True

    def take(self, item):
        if isinstance(item.message, ClaimReply):
            self.task.on_reply(item.sender, item.message)
        else:
            self.task.on_ask(item)


class ClaimFleet:
    """Instances named i-1, i-2 and so on, and requests sent to them."""

    def __init__(self, instances=3, holder="i-1"):
        self.platform = FakePlatform()
        self.timers = VirtualTimers()
        self.lines = []
        self.dead = set()
        self.runs = []
        names = [f"i-{number}" for number in range(1, instances + 1)]
        self.nodes_by_name = {name: Node(self, name) for name in names}
        for node in self.nodes_by_name.values():
            node.holder = holder

    def send(self, name, request, closing=ClaimState.DONE):
        """Send a request to an instance and return its thread."""
        return eventlet.spawn(self._handle, self.nodes_by_name[name], request, closing)

    def advance(self, duration_s, step_s=STEP_S):
        for _ in range(round(duration_s / step_s)):
            eventlet.sleep(0)
            self.timers.advance(step_s)
        eventlet.sleep(0)

    def _handle(self, node, request, closing):
        decision = node.task.claim(request)
        node.wait()
        if not decision.is_claimed:
            return decision
        if not decision.still_valid(self.timers.now()):
            node.write("event=leg.withheld reason=lease_over")
            node.task.close_claim(request.request_id, ClaimState.UNSENT)
            return decision
        if closing != ClaimState.UNSENT:
            self.runs.append((request.request_id, node.name))
            node.write(f"event=leg.send request={request.request_id}")
        if closing != ClaimState.CLAIMED:
            node.task.close_claim(request.request_id, closing)
        return decision
