"""Simulated instances with connection shares, one platform and injected faults."""

from __future__ import annotations

import random

from almondspool.codes import ResultCode
from almondspool.coordination.shares.share_actions import (
    ReadBucket,
    SetConnectionLimit,
    WriteBucket,
)
from almondspool.coordination.shares.share_policy import ShareSettings
from almondspool.coordination.shares.shares import Shares
from almondspool.state.document import Upstream
from almondspool.state.members import Member, MemberStatus, View

ZONES = ("perth-north", "perth-south", "perth-hills")
SETTINGS = ShareSettings(settle_s=1.0, release_grace_s=2.0, release_after_s=20.0)
STEPS = ("tick", "tick", "tick", "lose", "late", "fail", "freeze", "resume")
STEPS += ("kill", "restart", "unlist", "suspect", "hear", "close", "spread", "shrink")


def make_upstream(limit: int, name: str = "desk-1") -> Upstream:
    return Upstream(name, "10.1.0.1:80", ZONES[0], 2, limit)


class SimulatedInstance:
    """Simulated instance that opens all allowed connections, closes only on request."""

    def __init__(self, fleet, index: int, session: int):
        self.name = f"perth-{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.session = session
        self.shares = Shares(self.name, session, SETTINGS, random.Random(index))
        self.shares.set_upstreams({u.upstream_id: u for u in fleet.upstreams})
        self.open = {}
        self.frozen = False
        self.dead = False
        self.waiting = []
        self.status_by_name = {}


class Fleet:
    """Simulated instances, the platform's buckets, and faults as named steps."""

    def __init__(self, count: int, limits):
        self.upstreams = [
            make_upstream(limit, f"desk-{n}") for n, limit in enumerate(limits)
        ]
        self.limit_by_id = {u.upstream_id: u.max_connections for u in self.upstreams}
        self.now = 0.0
        self.version = 0
        self.objects = {}
        self.delayed = []
        self.session = 1
        self.processes = [SimulatedInstance(self, index, 1) for index in range(count)]
        self.ghosts = []
        self.listed = {process.name for process in self.processes}

    def view_of(self, process) -> View:
        members = {}
        for other in self.processes:
            status = MemberStatus(process.status_by_name.get(other.name, 0))
            if other is process and status != MemberStatus.LEAVING:
                status = MemberStatus.ALIVE
            members[other.name] = Member(
                other.name, 1, other.zone, "", "", status, session=other.session
            )
        return View(members)

    def run(self, step: str, index: int):
        process = self.processes[index % len(self.processes)]
        getattr(self, step)(process)
        self.check()

    def tick(self, process, outcome: str = "done"):
        self.now += 0.5
        if process.frozen or process.dead:
            return
        for upstream_id in process.shares.capped_upstream_ids():
            count = process.open.get(upstream_id, 0)
            process.shares.set_open_connections(upstream_id, count)
        process.shares.set_view(self.view_of(process), frozenset(self.listed), True)
        self.execute(
            process, process.shares.tick(self.now, int(self.now * 1000)), outcome
        )

    def lose(self, process):
        self.tick(process, "lost reply")

    def late(self, process):
        self.tick(process, "late")

    def fail(self, process):
        self.tick(process, "failed")

    def freeze(self, process):
        process.frozen = True

    def resume(self, process):
        if process.frozen and not process.dead:
            process.frozen = False
            process.open = {}
            self.session += 1
            process.shares.rejoin(self.session)
            process.session = self.session

    def kill(self, process):
        process.dead = True

    def restart(self, process):
        if process.dead:
            self.session += 1
            index = self.processes.index(process)
            self.processes[index] = SimulatedInstance(self, index, self.session)
            self.listed.add(process.name)

    def unlist(self, process):
        if process.dead:
            process.open = {}
            self.listed.discard(process.name)

    def suspect(self, process):
        for other in self.processes:
            process.status_by_name[other.name] = MemberStatus.DEAD
            break

    def hear(self, process):
        process.status_by_name = {
            other.name: MemberStatus.DEAD if other.dead else MemberStatus.ALIVE
            for other in self.processes
        }

    def shrink(self, process):
        last = self.processes[-1].name
        process.status_by_name[last] = MemberStatus.DEAD

    def close(self, process):
        if not process.frozen and not process.dead:
            for upstream_id in process.open:
                allowed = process.shares.allowed(upstream_id)
                process.open[upstream_id] = min(process.open[upstream_id], allowed)

    def spread(self, process):
        for write in self.delayed:
            self.put(*write)
        self.delayed = []
        for name, (version, value) in self.objects.items():
            if not process.frozen and not process.dead:
                self.execute(
                    process, process.shares.on_bucket_received(name, version, value)
                )

    def put(self, name, expected_version, value):
        if self.objects.get(name, (0, b""))[0] != expected_version:
            return False
        self.version += 1
        self.objects[name] = (self.version, value)
        return True

    def execute(self, process, actions, outcome="done"):
        for action in actions:
            if isinstance(action, SetConnectionLimit):
                held = process.open.get(action.upstream_id, 0)
                process.open[action.upstream_id] = max(held, action.connections)
            elif isinstance(action, ReadBucket):
                found = self.objects.get(action.name, (0, b""))
                self.execute(
                    process, process.shares.on_bucket_read(action.name, *found)
                )
            elif isinstance(action, WriteBucket):
                self.write(process, action, outcome)

    def write(self, process, action: WriteBucket, outcome: str):
        shares = process.shares
        if outcome == "late":
            self.delayed.append(action)
        taken = outcome in ("done", "lost reply") and self.put(*action)
        if outcome != "done":
            code = ResultCode.PLATFORM_UNAVAILABLE
            self.execute(process, shares.on_call_failed(action.name, code, self.now))
        elif taken:
            version = self.version
            self.execute(process, shares.on_written(action.name, version, action.value))
        else:
            code = ResultCode.PLATFORM_CONFLICT
            self.execute(process, shares.on_call_failed(action.name, code, self.now))

    def check(self):
        for upstream_id, limit in self.limit_by_id.items():
            total = 0
            for process in self.processes:
                may_open = 0 if process.dead else process.shares.allowed(upstream_id)
                total += max(process.open.get(upstream_id, 0), may_open)
            if total > limit:
                raise LimitExceededError(f"{upstream_id}: {total} of {limit}")

    def settle(self, seconds: int = 60):
        for _ in range(seconds):
            for process in self.processes:
                self.hear(process)
                self.tick(process)
                self.close(process)
                self.spread(process)
                self.check()


class LimitExceededError(Exception):
    pass
