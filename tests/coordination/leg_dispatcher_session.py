"""Leg dispatcher under virtual time; every leg takes the same service time."""

from __future__ import annotations

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.leg_dispatcher import LegDispatcher
from almondspool.coordination.upstreams.leg_dispatcher_actions import (
    CancelRuns,
    SendResult,
    StartExchange,
)
from almondspool.protocol.peer import LegAssignment, LegBatch
from almondspool.protocol.upstream import Leg, LegResult
from almondspool.state.document import Priority
from almondspool.transport.timers import VirtualTimers


def make_leg(leg_id, shard="s1", deadline_ms=1000, **fields):
    leg = Leg(leg_id, f"q-{leg_id}", "perth", 7, shard, {"street": "Low"}, deadline_ms)
    return leg._replace(**fields)


def make_batch(upstream_id, *legs, priority=Priority.NORMAL, is_exclusive=False):
    assignments = tuple(LegAssignment(upstream_id, leg, is_exclusive) for leg in legs)
    return LegBatch("b", int(priority), assignments)


class LegDispatcherSession:
    """Simulates the upstreams of a leg dispatcher and logs a line for each action."""

    def __init__(self, grants, slots=2, service_s=0.010):
        self.timers = VirtualTimers()
        self.leg_dispatcher = LegDispatcher()
        self.lines = []
        self.exchanges = []
        self.results_by_leg_id = {}
        self.in_flight = 0
        self.max_in_flight = 0
        self.service_s = service_s
        self.code_by_leg_id = {}
        self.leg_dispatcher.set_slots(dict.fromkeys(grants, slots))
        self.execute(self.leg_dispatcher.set_grants(0.0, grants))
        self.timers.subscribe(0.02, self._tick)

    def log(self, text):
        self.lines.append(f"{self.timers.now() * 1000:7.1f} ms  {text}")

    def submit(
        self, upstream_id, *legs, priority=Priority.NORMAL, sender="front-1", **fields
    ):
        names = ",".join(f"{leg.leg_id}/{leg.shard}" for leg in legs)
        self.log(f"{sender} submits {priority.name.lower()} {names} to {upstream_id}")
        batch = make_batch(upstream_id, *legs, priority=priority, **fields)
        self.execute(self.leg_dispatcher.submit(self.timers.now(), batch, sender))

    def cancel(self, *leg_ids):
        self.log(f"cancel {','.join(leg_ids)}")
        self.execute(self.leg_dispatcher.cancel(self.timers.now(), leg_ids))

    def set_grants(self, grants):
        self.log(f"grants are now {grants}")
        self.execute(self.leg_dispatcher.set_grants(self.timers.now(), grants))

    def execute(self, actions):
        for action in actions:
            if isinstance(action, SendResult):
                self._record_result(action)
            elif isinstance(action, StartExchange):
                self._start(action)
            elif isinstance(action, CancelRuns):
                self.log(f"  -> {action.upstream_id} cancels {','.join(action[1])}")

    def _record_result(self, action):
        result = action.result
        self.results_by_leg_id.setdefault(result.leg_id, []).append(result)
        ran = "" if result.was_run else ", not run"
        self.log(f"  -> {action.sender} gets {result.leg_id} {result.code.name}{ran}")

    def _start(self, action):
        self.exchanges.append([leg.leg_id for leg in action.legs])
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        names = ",".join(f"{leg.leg_id}:{leg.deadline_ms}ms" for leg in action.legs)
        self.log(f"  -> {action.upstream_id} runs #{action.exchange_id} {names}")
        for position, leg in enumerate(action.legs, 1):
            delay_s = self.service_s * position
            self.timers.call_later(delay_s, lambda leg=leg: self._finish(action, leg))
        total_s = self.service_s * len(action.legs)
        self.timers.call_later(total_s, lambda: self._end(action))

    def _finish(self, action, leg):
        code = self.code_by_leg_id.get(leg.leg_id, ResultCode.OK)
        result = LegResult(leg.leg_id, code, 7, leg.shard, (), action.upstream_id)
        now = self.timers.now()
        self.execute(self.leg_dispatcher.on_result(now, action.exchange_id, result))

    def _end(self, action):
        self.in_flight -= 1
        now = self.timers.now()
        self.execute(self.leg_dispatcher.on_end(now, action.exchange_id))

    def _tick(self):
        self.execute(self.leg_dispatcher.on_timer(self.timers.now()))
