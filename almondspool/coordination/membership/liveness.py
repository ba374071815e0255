"""Failure detection of instances by heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.membership.member_actions import Action, MemberChanged
from almondspool.coordination.membership.member_table import with_known_addresses
from almondspool.coordination.membership.probes import PeerScope, Probe, Probes, Relay
from almondspool.protocol.peer import Heartbeat, ProbeReply, ProbeRequest
from almondspool.state.members import Member, MemberStatus

if TYPE_CHECKING:
    import random

    from almondspool.coordination.membership.gossip import Gossip
    from almondspool.coordination.membership.listings import PlatformListings
    from almondspool.coordination.membership.member_table import MemberTable
    from almondspool.coordination.membership.membership_settings import (
        MembershipSettings,
    )

# How many other members are asked to probe a member that does not answer.
RELAYS_PER_PROBE = 3
# With at least this many other live members in the own availability zone, most
# heartbeats stay in it: traffic between zones costs money, and this many members detect
# a failure as early as all would.
MIN_LOCAL_MEMBERS = 8
# One in this many heartbeats then goes to another zone, so that changes reach the other
# zones within a second and these detect a zone that is cut off.
REMOTE_HEARTBEAT_PERIOD = 4


class Liveness:
    """Sends heartbeats in rounds and derives each member's status from the answers.

    An instance that does not answer is probed again, directly and by other members. It
    is suspect after suspect_after_s seconds without an answer, and dead after
    dead_after_s unless it refutes the suspicion.
    """

    def __init__(
        self,
        table: MemberTable,
        gossip: Gossip,
        listings: PlatformListings,
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        """Detect failures among the members of a table.

        Args:
            table: The records of the members.
            gossip: Builds the datagrams.
            listings: The platform's leaving marks.
            settings: The heartbeat interval and the timeouts.
            rng: Source of the order of the rounds.
        """
        self._table = table
        self._gossip = gossip
        self._listings = listings
        self._interval_s = settings.heartbeat_interval_s
        self._suspect_after_s = settings.suspect_after_s
        self._dead_after_s = settings.dead_after_s
        self._probes = Probes(rng)
        self._rng = rng
        self._last_message_at_by_instance: dict[str, float] = {}
        self._heartbeat_count = 0
        self._suspected_zone = ""

    def probe_next(self, now: float) -> list[Action]:
        """Send a heartbeat to the next member of the round; called at each tick."""
        target = self._next_target()
        if target is None:
            return []
        datagram = self._gossip.heartbeat_to(self._table.members_by_instance[target])
        self._probes.record_sent(target, datagram.sequence, now)
        return [datagram, *self._probe_suspected_zone(now)]

    def _probe_suspected_zone(self, now: float) -> list[Action]:
        """Probe one more member of the remote zone that last had a failing member."""
        candidates = [
            member
            for member in self._table.live_members()
            if member.zone == self._suspected_zone
            and member.status is MemberStatus.ALIVE
        ]
        self._suspected_zone = ""
        if not candidates:
            return []
        member = self._rng.choice(candidates)
        datagram = self._gossip.suspicion_heartbeat(member)
        self._probes.record_sent(member.instance, datagram.sequence, now)
        return [datagram]

    def _next_target(self) -> str | None:
        members = self._table.live_members()
        own_zone = self._table.own.zone
        local = [member.instance for member in members if member.zone == own_zone]
        remote = [member.instance for member in members if member.zone != own_zone]
        if len(local) < MIN_LOCAL_MEMBERS or not remote:
            return self._probes.next_target([*local, *remote])
        self._heartbeat_count += 1
        if self._heartbeat_count % REMOTE_HEARTBEAT_PERIOD == 0:
            return self._probes.next_target(remote, PeerScope.REMOTE)
        return self._probes.next_target(local, PeerScope.LOCAL)

    def handle_overdue_probes(self, now: float) -> list[Action]:
        """Probe again, suspect or declare dead each member that did not answer.

        A probe is overdue one heartbeat interval after its first attempt.
        """
        actions: list[Action] = []
        for probe in self._probes.unanswered(now, self._interval_s):
            member = self._table.get(probe.target)
            if member is None or member.status == MemberStatus.DEAD:
                self._probes.drop(probe.target)
                continue
            actions += self._handle_overdue_probe(member, probe, now)
        return actions

    def expire_suspicions(self, now: float) -> list[Action]:
        """Declare dead the suspect members that did not refute that in time."""
        refutation_timeout_s = self._dead_after_s - self._suspect_after_s
        actions: list[Action] = []
        for instance in self._table.names_with_status(MemberStatus.SUSPECT):
            if (
                now - self._table.changed_at_by_instance[instance]
                >= refutation_timeout_s
            ):
                member = self._table.members_by_instance[instance]
                actions += self.apply_record(
                    member._replace(status=MemberStatus.DEAD), now
                )
        return actions

    def restart(self, now: float) -> None:
        """Drop all probes and restart the timeout of every suspect member."""
        self._probes.clear()
        for instance in self._table.names_with_status(MemberStatus.SUSPECT):
            self._table.changed_at_by_instance[instance] = now

    def record_message(self, instance: str, now: float) -> None:
        """Record that an instance sent a message, which also answers its probe."""
        self._last_message_at_by_instance[instance] = now
        self._probes.drop(instance)

    def forget(self, instance: str) -> None:
        """Drop all state of an instance."""
        self._table.forget(instance)
        self._last_message_at_by_instance.pop(instance, None)

    def apply_record(self, record: Member, now: float) -> list[Action]:
        """Merge a received or derived record of another instance into the table."""
        instance = record.instance
        known = self._table.get(instance)
        record = with_known_addresses(record, known)
        if record is None:
            return []
        if record.status == MemberStatus.DEAD:
            if known is None:
                return []
            # A message received here outweighs a peer's report that it got no answer.
            if self._has_recent_message(instance, now):
                record = record._replace(status=MemberStatus.SUSPECT)
        if not self._table.put(record, now):
            return []
        if record.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            # The whole zone may have failed, so another of its members is probed too.
            zone = self._table.members_by_instance[instance].zone
            if zone != self._table.own.zone:
                self._suspected_zone = zone
        member = self._listings.with_leaving_mark(
            self._table.members_by_instance[instance]
        )
        return [MemberChanged(member, known.status if known else None)]

    def relay_probe(
        self, address: str, request: ProbeRequest, now: float
    ) -> list[Action]:
        """Send a heartbeat on behalf of a peer that got no answer to its own."""
        datagram = self._gossip.heartbeat(request.target, request.address)
        relay = Relay(address, request.echo, now + self._dead_after_s)
        self._probes.add_relay(datagram.sequence, relay, now)
        return [datagram]

    def forward_ack(self, ack: Heartbeat) -> list[Action]:
        """Forward an ack to the peer that requested the probe, if any did."""
        relay = self._probes.pop_relay(ack.echo)
        if relay is None:
            return []
        reply = ProbeReply(ack.member, relay.echo)
        return [self._gossip.make_datagram(relay.requester_address, reply)]

    def on_probe_reply(self, reply: ProbeReply, now: float) -> list[Action]:
        """Handle the answer to a probe that another member sent for this instance."""
        instance = reply.member.instance
        if not self._probes.drop_answered(instance, reply.echo):
            return []
        self._last_message_at_by_instance[instance] = now
        return self.apply_record(reply.member, now)

    def _handle_overdue_probe(
        self, member: Member, probe: Probe, now: float
    ) -> list[Action]:
        unanswered_s = now - probe.started_at
        if unanswered_s >= self._dead_after_s:
            self._probes.drop(probe.target)
            return self.apply_record(member._replace(status=MemberStatus.DEAD), now)
        actions: list[Action] = []
        if unanswered_s >= self._suspect_after_s:
            suspect = member._replace(status=MemberStatus.SUSPECT)
            actions += self.apply_record(suspect, now)
        actions.append(self._gossip.suspicion_heartbeat(member))
        if member.status == MemberStatus.ALIVE:
            actions += self._request_relayed_probes(member, probe)
        return actions

    def _request_relayed_probes(self, member: Member, probe: Probe) -> list[Action]:
        request = ProbeRequest(
            member.instance, member.peer_address, probe.first_sequence
        )
        relays = self._gossip.sample_alive(RELAYS_PER_PROBE, skip=member.instance)
        return [
            self._gossip.make_datagram(relay.peer_address, request) for relay in relays
        ]

    def _has_recent_message(self, instance: str, now: float) -> bool:
        last_message_at = self._last_message_at_by_instance.get(instance)
        return (
            last_message_at is not None
            and now - last_message_at < self._suspect_after_s
        )
