"""Runs search sessions of one instance under virtual time, with simulated replies."""

from __future__ import annotations

import random
from typing import NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.search.search import make_session
from almondspool.coordination.search.search_actions import (
    BroadcastSuspicion,
    CancelLeg,
    Finish,
    SendLeg,
)
from almondspool.coordination.search.search_context import make_context
from almondspool.logs import format_event
from almondspool.protocol.caller import Record, SearchRequest
from almondspool.protocol.upstream import LegResult
from almondspool.state.document import (
    Priority,
    Section,
    Service,
    Shard,
    Snapshot,
    Upstream,
)
from almondspool.transport.timers import VirtualTimers

ZONES = ("perth-north", "perth-south", "perth-hills")
LEG_LATENCY_S = 0.006
LEG_FIELDS = ("leg_id", "shard", "snapshot", "deadline_ms")


def make_section(services=2, replicas=3, snapshot_ids=(7,), drained=()):
    """Return a section with one shard for each service."""
    upstreams, service_list, shards = {}, {}, {}
    for number in range(services):
        names = tuple(f"s{number}-{place}" for place in "abcdef"[:replicas])
        for place, name in enumerate(names):
            address = f"127.0.0.1:{9000 + number * 10 + place}"
            upstreams[name] = Upstream(name, address, ZONES[place % 3], 2, 25)
        service_id = f"service-{number}"
        service_list[service_id] = Service(service_id, names)
        shards[f"shard-{number}"] = Shard(f"shard-{number}", service_id, names)
    return Section(
        "alert-desk",
        Priority.URGENT,
        160,
        {},
        service_list,
        upstreams,
        {snapshot_id: Snapshot(snapshot_id, shards) for snapshot_id in snapshot_ids},
        frozenset(drained),
    )


def make_request(**fields):
    values = {"request_id": "r-1", "team": "alert-desk", "query": {"street": "Hay"}}
    return SearchRequest(**(values | fields))


class Reply(NamedTuple):
    """An upstream's reply to a leg: its delay, its result and the number of copies."""

    delay_s: float = LEG_LATENCY_S
    code: ResultCode = ResultCode.OK
    was_run: bool = True
    snapshot: int | None = None
    copies: int = 1


SILENT = Reply(copies=0)


class SearchSessionDriver:
    """Runs sessions of one instance; replies can be set by leg number or by upstream.

    A reply set by the number of the leg, counted from 1, takes precedence.
    """

    def __init__(self, section=None, seed=1, instance="i-1", hedge_share=0.05):
        self.timers = VirtualTimers(start=100.0)
        self.section = section or make_section()
        self.context = make_context(
            instance, 3, ZONES[0], hedge_share, 600.0, random.Random(seed)
        )
        self.reply_by_upstream = {}
        self.reply_by_number = {}
        self.lines = []
        self.sent = []
        self.cancelled = []
        self.suspicions = []
        self.answers = []
        self.session = None

    def run(self, request=None, send_before=float("inf"), until_s=1.0):
        """Run one request until a time limit and return the last answer, if any."""
        now = self.timers.now()
        self.session = make_session(
            self.context,
            request or make_request(),
            lambda: self.section,
            4,
            now,
            self.timers.wall_time(),
            send_before,
        )
        self.execute(self.session, self.session.start(now))
        self.timers.advance(until_s)
        return self.answers[-1] if self.answers else None

    def execute(self, session, actions):
        for action in actions:
            self.log_action(action)
            if isinstance(action, SendLeg):
                self.sent.append(action)
                self._reply(session, action)
            elif isinstance(action, CancelLeg):
                self.cancelled.append(action)
            elif isinstance(action, BroadcastSuspicion):
                self.suspicions.append(action.suspicion)
            elif isinstance(action, Finish):
                self.answers.append(action.answer)
        self._schedule(session)

    def _schedule(self, session):
        due = session.next_timer_at
        if due is None:
            return

        def fire():
            if session.next_timer_at == due:
                self.execute(session, session.on_timer(self.timers.now()))

        self.timers.call_later(due - self.timers.now(), fire)

    def _reply(self, session, action):
        number = len(self.sent)
        reply = self.reply_by_upstream.get(action.upstream_id, Reply())
        reply = self.reply_by_number.get(number, reply)
        for _ in range(reply.copies):
            result = make_result(action, reply)
            self.timers.call_later(
                reply.delay_s, lambda result=result: self.deliver(session, result)
            )

    def deliver(self, session, result):
        before = session.discarded_by_reason.copy()
        actions = session.on_result(self.timers.now(), result)
        discarded = sorted(session.discarded_by_reason - before)
        fields = {"discarded": discarded} if discarded else {}
        self.log(
            "leg.result",
            leg_id=result.leg_id,
            upstream=result.upstream_id,
            code=ResultCode(result.code).name,
            snapshot=result.snapshot,
            **fields,
        )
        self.execute(session, actions)

    def log_action(self, action):
        if isinstance(action, SendLeg):
            fields = {name: getattr(action.leg, name) for name in LEG_FIELDS}
            weighed = [
                f"{name}:{score * 1000:.2f}ms" for name, score in action.candidates
            ]
            self.log(
                "leg.send",
                **fields,
                upstream=action.upstream_id,
                reason=action.reason,
                weighed=weighed,
            )
        elif isinstance(action, CancelLeg):
            self.log(
                "leg.cancel",
                leg_id=action.leg_id,
                upstream=action.upstream_id,
                reason=action.reason,
            )
        elif isinstance(action, BroadcastSuspicion):
            self.log(
                "suspicion.share",
                crashes=action.suspicion.crashes,
                upstream=action.suspicion.upstream_id,
                reason=action.reason,
            )
        else:
            self._log_answer(action.answer, action.reason)

    def _log_answer(self, answer, reason):
        coverage = answer.coverage
        missing = [
            f"{shard}:{outcome}:{code.name}"
            for shard, outcome, code in coverage.missing
        ]
        counts = coverage._asdict() | {"missing": missing}
        records = [record.record_id for record in answer.records]
        self.log(
            "answer",
            request=answer.request_id,
            code=answer.code.name,
            snapshot=answer.snapshot,
            **counts,
            records=records,
            retry_after_ms=answer.retry_after_ms,
            reason=reason,
        )

    def log(self, event, **fields):
        """Add one line to the log that is compared with golden files."""
        ms = (self.timers.now() - 100.0) * 1000
        self.lines.append(f"{ms:8.2f}ms {format_event(event, **fields)}")


def make_result(action, reply):
    leg = action.leg
    is_ok = reply.code == ResultCode.OK
    records = (Record(f"alarm-{leg.shard}", {"at": leg.shard}),) if is_ok else ()
    return LegResult(
        leg.leg_id,
        reply.code,
        leg.snapshot if reply.snapshot is None else reply.snapshot,
        leg.shard,
        records,
        action.upstream_id,
        was_run=reply.was_run,
    )
