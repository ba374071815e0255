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
# Methods of Fleet, of which random runs are composed; "tick" is drawn more often.
STEPS = ("tick", "tick", "tick", "lose_reply", "late", "fail_call", "freeze", "resume")
STEPS += (
    "kill",
    "restart",
    "unlist",
    "suspect",
    "update_statuses",
    "close_surplus",
    "deliver_buckets",
    "suspect_last",
)


def make_upstream(limit: int, name: str = "desk-1") -> Upstream:
    return Upstream(name, "10.1.0.1:80", ZONES[0], 2, limit)


class SimulatedInstance:
    """Opens all allowed connections; closes those that exceed them only on request."""

    def __init__(self, fleet, index: int, session: int):
        self.name = f"perth-{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.session = session
        self.shares = Shares(self.name, session, SETTINGS, random.Random(index))
        self.shares.set_upstreams({u.upstream_id: u for u in fleet.upstreams})
        self.open_by_upstream_id = {}
        self.is_frozen = False
        self.is_dead = False
        self.waiting = []
        self.status_by_name = {}


class Fleet:
    """Simulated instances, the platform's buckets, and steps, some of them faults.

    Every step takes the instance that it concerns.
    """

    def __init__(self, count: int, limits):
        self.upstreams = [
            make_upstream(limit, f"desk-{n}") for n, limit in enumerate(limits)
        ]
        self.limit_by_id = {u.upstream_id: u.max_connections for u in self.upstreams}
        self.now = 0.0
        self.version = 0
        self.objects = {}
        self.delayed_writes = []
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
        """Run a tick 0.5 s later; ``outcome`` is that of the writes it makes."""
        self.now += 0.5
        if instance.is_frozen or instance.is_dead:
            return
        for upstream_id in instance.shares.capped_upstream_ids():
            count = instance.open_by_upstream_id.get(upstream_id, 0)
            instance.shares.set_open_connections(upstream_id, count)
        instance.shares.set_view(self.view_of(instance), frozenset(self.listed), True)
        self.execute(
            instance, instance.shares.tick(self.now, int(self.now * 1000)), outcome
        )

    def lose_reply(self, instance):
        """Run a tick whose writes take effect but are reported as failed."""
        self.tick(instance, "lost reply")

    def late(self, instance):
        """Run a tick whose writes are reported as failed but may take effect later."""
        self.tick(instance, "late")

    def fail_call(self, instance):
        """Run a tick whose writes fail."""
        self.tick(instance, "failed")

    def freeze(self, instance):
        instance.is_frozen = True

    def resume(self, instance):
        """Resume a frozen instance in a new session, with all connections closed."""
        if instance.is_frozen and not instance.is_dead:
            instance.is_frozen = False
            instance.open_by_upstream_id = {}
            self.session += 1
            instance.shares.rejoin(self.session)
            instance.session = self.session

    def kill(self, instance):
        """Kill an instance, whose connections stay open and which stays listed."""
        instance.is_dead = True

    def restart(self, instance):
        if instance.is_dead:
            self.session += 1
            index = self.instances.index(instance)
            self.instances[index] = SimulatedInstance(self, index, self.session)
            self.listed.add(instance.name)

    def unlist(self, instance):
        """Close a dead instance's connections and unlist it from the platform."""
        if instance.is_dead:
            instance.open_by_upstream_id = {}
            self.listed.discard(instance.name)

    def suspect(self, instance):
        """Make an instance consider the first one dead."""
        for other in self.instances:
            instance.status_by_name[other.name] = MemberStatus.DEAD
            break

    def update_statuses(self, instance):
        """Make an instance know which instances are dead."""
        instance.status_by_name = {
            other.name: MemberStatus.DEAD if other.is_dead else MemberStatus.ALIVE
            for other in self.instances
        }

    def suspect_last(self, instance):
        """Make an instance consider the last one dead."""
        last = self.instances[-1].name
        instance.status_by_name[last] = MemberStatus.DEAD

    def close_surplus(self, instance):
        """Close the connections that exceed what an instance may open."""
        if not instance.is_frozen and not instance.is_dead:
            for upstream_id in instance.open_by_upstream_id:
                allowed = instance.shares.allowed(upstream_id)
                instance.open_by_upstream_id[upstream_id] = min(
                    instance.open_by_upstream_id[upstream_id], allowed
                )

    def deliver_buckets(self, instance):
        """Apply the late writes, then push all buckets to an instance."""
        for write in self.delayed_writes:
            self.put(*write)
        self.delayed_writes = []
        for name, (version, value) in self.objects.items():
            if not instance.is_frozen and not instance.is_dead:
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
                held = instance.open_by_upstream_id.get(action.upstream_id, 0)
                instance.open_by_upstream_id[action.upstream_id] = max(
                    held, action.connections
                )
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
            self.delayed_writes.append(action)
        is_written = outcome in ("done", "lost reply") and self.put(*action)
        if outcome != "done":
            code = ResultCode.PLATFORM_UNAVAILABLE
            self.execute(instance, shares.on_call_failed(action.name, code, self.now))
        elif is_written:
            version = self.version
            self.execute(
                instance, shares.on_written(action.name, version, action.value)
            )
        else:
            code = ResultCode.PLATFORM_CONFLICT
            self.execute(instance, shares.on_call_failed(action.name, code, self.now))

    def check(self):
        """Check that open and allowed connections stay within each limit."""
        for upstream_id, limit in self.limit_by_id.items():
            total = 0
            for instance in self.instances:
                may_open = (
                    0 if instance.is_dead else instance.shares.allowed(upstream_id)
                )
                total += max(instance.open_by_upstream_id.get(upstream_id, 0), may_open)
            if total > limit:
                raise LimitExceededError(f"{upstream_id}: {total} of {limit}")

    def settle(self, rounds: int = 60):
        """Run rounds without faults, in which every instance ticks."""
        for _ in range(rounds):
            for instance in self.instances:
                self.update_statuses(instance)
                self.tick(instance)
                self.close_surplus(instance)
                self.deliver_buckets(instance)
                self.check()


class LimitExceededError(Exception):
    pass
