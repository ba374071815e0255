"""Claims tasks of several instances that forward operations, under virtual time."""

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


class InstanceTimers(TimerService):
    """The fleet's timers for one instance; callbacks wait while it is frozen."""

    def __init__(self, instance):
        self.instance = instance
        self.timers = instance.fleet.timers

    def now(self):
        return self.timers.now()

    def wall_time(self):
        return self.timers.wall_time()

    def call_later(self, delay_s, callback):
        return self.timers.call_later(
            delay_s, lambda: self.instance.run_or_defer(callback)
        )

    def subscribe(self, interval_s, callback):
        return self.timers.subscribe(
            interval_s, lambda: self.instance.run_or_defer(callback)
        )


class InstancePlatform:
    """The fleet's platform for one instance; calls block while it is frozen."""

    def __init__(self, instance):
        self.instance = instance
        self.platform = instance.fleet.platform

    def get(self, kind, name):
        self.instance.wait_while_frozen()
        if self.instance.is_cut_off:
            return Failure(PlatformError("cut off"))
        return self.instance.log_call("get", self.platform.get(kind, name))

    def put(self, kind, name, value, expected_version):
        self.instance.sleep(CALL_S)
        self.instance.wait_while_frozen()
        if self.instance.is_cut_off:
            return Failure(PlatformError("cut off"))
        result = self.platform.put(kind, name, value, expected_version)
        self.instance.log_call("put", result)
        if self.instance.freezes_after_put:
            self.instance.freeze()
        self.instance.wait_while_frozen()
        return result


class FleetInstance:
    """One instance, which tests can freeze or cut off from the platform.

    Attributes:
        freezes_after_put: Whether it freezes as soon as a put has taken effect.
        holder: The instance that it regards as the holder of every bucket.
        deferred: Callbacks that became due while it was frozen.
    """

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.is_frozen = False
        self.is_cut_off = False
        self.freezes_after_put = False
        self.resumed = Event()
        self.deferred = []
        self.holder = ""
        self.task = make_claims_task(
            InstancePlatform(self),
            InstanceTimers(self),
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

    def log_call(self, call, result):
        outcome = result.map(lambda found: f"version_{found.version}").value_or(None)
        outcome = outcome or result.failure().code.name
        self.write(f"event=platform.call call={call} result={outcome}")
        return result

    def run_or_defer(self, action):
        """Run an action now, or on resume if frozen."""
        if self.is_frozen:
            self.deferred.append(action)
        else:
            action()

    def wait_while_frozen(self):
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
        deferred, self.deferred = self.deferred, []
        for action in deferred:
            action()

    def send(self, instance, message):
        other = self.fleet.instances_by_name[instance]
        item = PeerMessage(
            self.name, message, lambda reply: other.send(self.name, reply)
        )
        state = (message.op if isinstance(message, ClaimAsk) else message).state
        self.write(
            f"event=peer.sent to={instance} type={type(message).__name__} state={state}"
        )
        deliver = lambda: other.run_or_defer(lambda: other.receive(item))  # noqa: E731
        self.fleet.timers.call_later(MESSAGE_S, deliver)
        return True

    def receive(self, item):
        if isinstance(item.message, ClaimReply):
            self.task.on_reply(item.sender, item.message)
        else:
            self.task.on_forwarded_operation(item)


class ClaimFleet:
    """Instances named i-1, i-2 and so on, with one platform.

    Attributes:
        dead: Names of the instances that are considered dead.
        runs: Request id and instance of each request that was run.
    """

    def __init__(self, instances=3, holder="i-1"):
        self.platform = FakePlatform()
        self.timers = VirtualTimers()
        self.lines = []
        self.dead = set()
        self.runs = []
        names = [f"i-{number}" for number in range(1, instances + 1)]
        self.instances_by_name = {name: FleetInstance(self, name) for name in names}
        for instance in self.instances_by_name.values():
            instance.holder = holder

    def send(self, name, request, closing=ClaimState.DONE):
        """Let an instance handle a request; return the green thread.

        ``closing`` is the state in which the claim is closed after the request has
        run; with UNSENT, the request is not run; with CLAIMED, the claim stays open.
        """
        return eventlet.spawn(
            self._handle, self.instances_by_name[name], request, closing
        )

    def advance(self, duration_s, step_s=STEP_S):
        for _ in range(round(duration_s / step_s)):
            eventlet.sleep(0)
            self.timers.advance(step_s)
        eventlet.sleep(0)

    def _handle(self, instance, request, closing):
        decision = instance.task.claim(request)
        instance.wait_while_frozen()
        if not decision.is_claimed:
            return decision
        if not decision.may_send(self.timers.now()):
            instance.write("event=leg.withheld reason=lease_over")
            instance.task.close_claim(request.request_id, ClaimState.UNSENT)
            return decision
        if closing != ClaimState.UNSENT:
            self.runs.append((request.request_id, instance.name))
            instance.write(f"event=leg.send request={request.request_id}")
        if closing != ClaimState.CLAIMED:
            instance.task.close_claim(request.request_id, closing)
        return decision
