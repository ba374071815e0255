"""Simulated lossy network of membership state machines under virtual time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.member_actions import (
    BecameReady,
    DeleteRecord,
    MemberChanged,
    MemberForgotten,
    ReadRecordsAndListing,
    Rejoin,
    SendDatagram,
    WriteRecord,
)
from almondspool.coordination.membership.membership import Membership
from almondspool.coordination.membership.membership_settings import MembershipSettings
from almondspool.protocol.peer import PeerCodec
from almondspool.state.members import Member, MemberStatus
from almondspool.transport.timers import VirtualTimers

if TYPE_CHECKING:
    from almondspool.protocol.platform import ListedInstance

ZONES = ("perth-north", "perth-south", "perth-hills")
IP_UDP_HEADER_BYTES = 28


class Link(NamedTuple):
    source: str
    target: str


def make_member(instance: str, index: int, incarnation: int = 1) -> Member:
    return Member(
        instance=instance,
        incarnation=incarnation,
        zone=ZONES[index % len(ZONES)],
        caller_address=f"10.0.{index // 200}.{index % 200}:7100",
        peer_address=f"10.0.{index // 200}.{index % 200}:7200",
    )


class Network:
    """Delivers datagrams with seeded loss and delay, and acts as the platform."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0, seeds: int = 0):
        self.timers = VirtualTimers()
        self.rng = random.Random(seed)
        self.loss = loss
        self.cuts: set[Link] = set()
        self.stopped: set[str] = set()
        self.frozen: dict[str, list] = {}
        self.platform_up = True
        self.records: dict[str, Member] = {}
        self.listings: dict[str, ListedInstance] = {}
        self.memberships: dict[str, Membership] = {}
        self.names_by_address: dict[str, str] = {}
        self.lines: list[str] = []
        self.bytes_by_instance: dict[str, int] = {}
        # Bytes sent within a zone and between zones.
        self.local_bytes = 0
        self.remote_bytes = 0
        self.largest_datagram = 0
        self.codec = PeerCodec("a key of the tests only")
        self.handles = {}
        members = [make_member(f"perth-{n + 1}", n) for n in range(count)]
        seed_peers = tuple(member.peer_address for member in members[:seeds])
        self.settings = MembershipSettings(seed_peers=seed_peers)
        self.members = members

    def start_all(self):
        for member in self.members:
            self.start(member)

    def start(self, member: Member):
        rng = random.Random(f"{member.instance}/{member.incarnation}")
        membership = Membership(member, self.settings, rng)
        name = member.instance
        self.memberships[name] = membership
        self.stopped.discard(name)
        self.names_by_address[member.peer_address] = name
        self.execute(name, membership.start(self.now))
        interval_s = self.settings.heartbeat_interval_s
        first_s = interval_s * self.rng.random()
        self.handles[name] = self.timers.call_later(
            first_s, lambda: self._run(name, interval_s)
        )

    @property
    def now(self) -> float:
        return self.timers.now()

    def advance(self, duration_s: float):
        self.timers.advance(duration_s)

    def log(self, text: str):
        self.lines.append(f"{self.now:7.2f} -- {text}")

    def kill(self, name: str):
        self.stopped.add(name)
        self.handles[name].cancel()

    def freeze(self, name: str):
        self.frozen[name] = []

    def resume(self, name: str):
        waiting = self.frozen.pop(name)
        for arguments in waiting:
            self._receive(name, *arguments)

    def cut(self, sources, targets):
        """Drop all datagrams from the sources to the targets from now on."""
        self.cuts |= {Link(a, b) for a in sources for b in targets if a != b}

    def statuses_of(self, instance: str) -> dict[str, str]:
        """Return, by instance, which status each other running one has for a member."""
        statuses = {}
        for name, membership in sorted(self.memberships.items()):
            if name != instance and name not in self.stopped:
                member = membership.view().members_by_instance.get(instance)
                statuses[name] = member.status.name if member else "UNKNOWN"
        return statuses

    def execute(self, name: str, actions):
        for action in actions:
            if isinstance(action, SendDatagram):
                self._send(name, action)
            elif isinstance(action, WriteRecord):
                if self.platform_up:
                    self.records[name] = action.member
            elif isinstance(action, ReadRecordsAndListing):
                self._read_platform(name)
            elif isinstance(action, DeleteRecord):
                self.records.pop(action.instance, None)
            else:
                self._log_action(name, action)

    def _run(self, name: str, interval_s: float):
        self._tick(name)
        self.handles[name] = self.timers.subscribe(interval_s, lambda: self._tick(name))

    def _tick(self, name: str):
        if name not in self.frozen:
            self.execute(name, self.memberships[name].tick(self.now))

    def _read_platform(self, name: str):
        if self.platform_up:
            membership = self.memberships[name]
            self.execute(
                name, membership.receive_records(self.records.values(), self.now)
            )
            self.execute(
                name, membership.receive_listings(self.listings.values(), self.now)
            )

    def _send(self, name: str, action: SendDatagram):
        data = self.codec.encode(
            name, action.incarnation, action.sequence, (action.message,)
        )
        self.largest_datagram = max(self.largest_datagram, len(data))
        self._count(name, data)
        target = self.names_by_address.get(action.address)
        if target is None or target in self.stopped or Link(name, target) in self.cuts:
            return
        if self.rng.random() < self.loss:
            return
        own = self.memberships[name].own
        if self.memberships[target].own.zone == own.zone:
            self.local_bytes += len(data) + IP_UDP_HEADER_BYTES
        else:
            self.remote_bytes += len(data) + IP_UDP_HEADER_BYTES
        source = own.peer_address
        delay_s = self.rng.uniform(0.001, 0.008)
        arguments = (name, source, action.sequence, data)
        self.timers.call_later(delay_s, lambda: self._deliver(target, arguments))

    def _count(self, name: str, data: bytes):
        size = len(data) + IP_UDP_HEADER_BYTES
        self.bytes_by_instance[name] = self.bytes_by_instance.get(name, 0) + size

    def _deliver(self, target: str, arguments):
        if target in self.stopped:
            return
        self._count(target, arguments[3])
        if target in self.frozen:
            self.frozen[target].append(arguments)
        else:
            self._receive(target, *arguments)

    def _receive(self, target: str, sender: str, source: str, sequence: int, data):
        _, (message,) = self.codec.decode(data)
        membership = self.memberships[target]
        self.execute(
            target, membership.receive(sender, source, sequence, message, self.now)
        )

    def _log_action(self, name: str, action):
        if isinstance(action, MemberChanged):
            member = action.member
            previous = (
                "NEW" if action.previous_status is None else action.previous_status.name
            )
            text = f"{member.instance}: {previous} -> {member.status.name}"
            text += f" incarnation {member.incarnation}"
            if not member.ready and member.status == MemberStatus.ALIVE:
                text += " not ready"
        elif isinstance(action, Rejoin):
            text = f"re-joins after {action.gap_s:.1f} s as {action.incarnation}"
        elif isinstance(action, BecameReady):
            text = f"ready, confirmed by {action.source}"
        elif isinstance(action, MemberForgotten):
            text = f"forgets {action.instance}"
        else:
            text = str(action)
        self.lines.append(f"{self.now:7.2f} {name}: {text}")
