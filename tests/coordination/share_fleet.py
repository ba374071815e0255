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
        self.instances = [SimulatedInstance(self, index, 1) for index in range(count)]
        self.ghosts = []
        self.listed = {instance.name for instance in self.instances}

    def view_of(self, instance) -> View:
        members = {}
        for other in self.instances:
            status = MemberStatus(instance.status_by_name.get(other.name, 0))
            if other is instance and status != MemberStatus.LEAVING:
                status = MemberStatus.ALIVE
            members[other.name] = Member(
                other.name, 1, other.zone, "", "", status, session=other.session
            )
        return View(members)

    def run(self, step: str, index: int):
        instance = self.instances[index % len(self.instances)]
        getattr(self, step)(instance)
        self.check()

    def tick(self, instance, outcome: str = "done"):
        self.now += 0.5
        if instance.frozen or instance.dead:
            return
        for upstream_id in instance.shares.capped_upstream_ids():
            count = instance.open.get(upstream_id, 0)
            instance.shares.set_open_connections(upstream_id, count)
        instance.shares.set_view(self.view_of(instance), frozenset(self.listed), True)
        self.execute(
            instance, instance.shares.tick(self.now, int(self.now * 1000)), outcome
        )

    def lose(self, instance):
        self.tick(instance, "lost reply")

    def late(self, instance):
        self.tick(instance, "late")

    def fail(self, instance):
        self.tick(instance, "failed")

    def freeze(self, instance):
        instance.frozen = True

    def resume(self, instance):
        if instance.frozen and not instance.dead:
            instance.frozen = False
            instance.open = {}
            self.session += 1
            instance.shares.rejoin(self.session)
            instance.session = self.session

    def kill(self, instance):
        instance.dead = True

    def restart(self, instance):
        if instance.dead:
            self.session += 1
            index = self.instances.index(instance)
            self.instances[index] = SimulatedInstance(self, index, self.session)
            self.listed.add(instance.name)

    def unlist(self, instance):
        if instance.dead:
            instance.open = {}
            self.listed.discard(instance.name)

    def suspect(self, instance):
        for other in self.instances:
            instance.status_by_name[other.name] = MemberStatus.DEAD
            break

    def hear(self, instance):
        instance.status_by_name = {
            other.name: MemberStatus.DEAD if other.dead else MemberStatus.ALIVE
            for other in self.instances
        }

    def shrink(self, instance):
        last = self.instances[-1].name
        instance.status_by_name[last] = MemberStatus.DEAD

    def close(self, instance):
        if not instance.frozen and not instance.dead:
            for upstream_id in instance.open:
                allowed = instance.shares.allowed(upstream_id)
                instance.open[upstream_id] = min(instance.open[upstream_id], allowed)

    def spread(self, instance):
        for write in self.delayed:
            self.put(*write)
        self.delayed = []
        for name, (version, value) in self.objects.items():
            if not instance.frozen and not instance.dead:
                self.execute(
                    instance, instance.shares.on_bucket_received(name, version, value)
                )

    def put(self, name, expected_version, value):
        if self.objects.get(name, (0, b""))[0] != expected_version:
            return False
        self.version += 1
        self.objects[name] = (self.version, value)
        return True

    def execute(self, instance, actions, outcome="done"):
        for action in actions:
            if isinstance(action, SetConnectionLimit):
                held = instance.open.get(action.upstream_id, 0)
                instance.open[action.upstream_id] = max(held, action.connections)
            elif isinstance(action, ReadBucket):
                found = self.objects.get(action.name, (0, b""))
                self.execute(
                    instance, instance.shares.on_bucket_read(action.name, *found)
                )
            elif isinstance(action, WriteBucket):
                self.write(instance, action, outcome)

    def write(self, instance, action: WriteBucket, outcome: str):
        shares = instance.shares
        if outcome == "late":
            self.delayed.append(action)
        taken = outcome in ("done", "lost reply") and self.put(*action)
        if outcome != "done":
            code = ResultCode.PLATFORM_UNAVAILABLE
            self.execute(instance, shares.on_call_failed(action.name, code, self.now))
        elif taken:
            version = self.version
            self.execute(
                instance, shares.on_written(action.name, version, action.value)
            )
        else:
            code = ResultCode.PLATFORM_CONFLICT
            self.execute(instance, shares.on_call_failed(action.name, code, self.now))

    def check(self):
        for upstream_id, limit in self.limit_by_id.items():
            total = 0
            for instance in self.instances:
                may_open = 0 if instance.dead else instance.shares.allowed(upstream_id)
                total += max(instance.open.get(upstream_id, 0), may_open)
            if total > limit:
                raise LimitExceededError(f"{upstream_id}: {total} of {limit}")

    def settle(self, seconds: int = 60):
        for _ in range(seconds):
            for instance in self.instances:
                self.hear(instance)
                self.tick(instance)
                self.close(instance)
                self.spread(instance)
                self.check()


class LimitExceededError(Exception):
    pass
