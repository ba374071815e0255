"""Membership decisions from heartbeats, gossip and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.coordination.membership.contacts import CONTACT_FANOUT, PeerContacts
from almondspool.coordination.membership.gossip import Gossip
from almondspool.coordination.membership.joining import JoinState
from almondspool.coordination.membership.listings import PlatformListings
from almondspool.coordination.membership.liveness import Liveness
from almondspool.coordination.membership.member_actions import (
    Action,
    BecameReady,
    DeleteRecord,
    MemberChanged,
    MemberForgotten,
    Rejoin,
)
from almondspool.coordination.membership.member_table import MemberTable, load_level
from almondspool.coordination.membership.rendezvous import highest_ranked
from almondspool.protocol.peer import (
    Heartbeat,
    ProbeReply,
    ProbeRequest,
    ViewReply,
    ViewRequest,
)
from almondspool.state.members import Member, MemberStatus, View

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from almondspool.coordination.membership.member_actions import Message
    from almondspool.coordination.membership.membership_settings import (
        MembershipSettings,
    )
    from almondspool.protocol.platform import ListedInstance

# How many live members get a heartbeat at once when this instance refutes a suspicion.
REFUTE_FANOUT = 3
# How many live members get a heartbeat at once when the own status changes.
STATUS_FANOUT = 8
# The own load is rounded to a multiple of this.
LOAD_RESOLUTION = 0.05
# Every this many ticks one address without a live member is contacted, so that the
# members find each other again after a partition.
RECONNECT_INTERVAL_TICKS = 5
# How long a dead instance, or an address that never answered, is kept.
FORGET_AFTER_S = 1800.0


class Membership:
    """State machine that turns messages, platform replies and ticks into actions.

    Call ``start`` once, ``tick`` every heartbeat interval and ``receive`` for each
    datagram whose signature and sequence number were checked.
    """

    def __init__(
        self, own: Member, settings: MembershipSettings, rng: random.Random
    ) -> None:
        """Start with the own record only.

        Args:
            own: The own record; its incarnation must exceed all earlier ones. If it is
                found not to, the instance re-joins with a higher one.
            settings: Intervals, timeouts and seeds.
            rng: Source of the random choice of peers and of jitter.
        """
        own = own._replace(session=own.incarnation, ready=False)
        self._settings = settings
        self._rng = rng
        self._table = MemberTable(own)
        self._gossip = Gossip(self._table, rng)
        self._listings = PlatformListings(rng)
        self._liveness = Liveness(
            self._table, self._gossip, self._listings, settings, rng
        )
        self._joining = JoinState(
            settings.seed_peers, own.peer_address, settings.dead_after_s
        )
        self._contacts = PeerContacts(self._table, self._gossip, self._joining, rng)
        self._is_leaving = False
        self._is_confirmed = False
        self._can_serve = True
        self._ticks = 0
        self._last_tick_at = 0.0
        self._view_key: tuple[Member, int, int] | None = None
        self._view = View({})

    @property
    def own(self) -> Member:
        """The own record."""
        return self._table.own

    def view(self) -> View:
        """Return the membership with the platform's leaving marks applied.

        The same object is returned as long as nothing changed.
        """
        key = (self.own, self._table.version, self._listings.version)
        if key != self._view_key:
            self._view_key = key
            members = (self.own, *self._table.members_by_instance.values())
            marked = map(self._listings.with_leaving_mark, members)
            self._view = View({member.instance: member for member in marked})
        return self._view

    def listed_instances(self) -> frozenset[str]:
        """Return the instances in the platform's list as of the last read."""
        return self._listings.listed_instances

    def may_act(self, now: float) -> bool:
        """Return whether the instance may act on its view and leases.

        It may if its view and document generation are confirmed and its last tick is at
        most lease_s seconds ago.
        """
        return self._is_confirmed and now - self._last_tick_at <= self._settings.lease_s

    def propagation_time_s(self) -> float:
        """Return the time in which a change should reach all members, in seconds."""
        rounds = self._table.transmission_count()
        return rounds * self._settings.heartbeat_interval_s

    def start(self, now: float) -> list[Action]:
        """Announce the start to the platform and to the known addresses."""
        self._last_tick_at = now
        self._joining.restart(now)
        return [*self._platform_calls(now), *self._contacts.contact_sample()]

    def tick(self, now: float) -> list[Action]:
        """Return the actions due; call once every heartbeat interval."""
        actions = self._check_gap(now)
        self._last_tick_at = now
        self._ticks += 1
        actions += self._liveness.handle_overdue_probes(now)
        actions += self._liveness.expire_suspicions(now)
        actions += self._forget_dead(now)
        actions += self._liveness.probe_next(now)
        if not self._joining.confirmed_by:
            actions += self._contacts.contact_sample()
        elif self._ticks % RECONNECT_INTERVAL_TICKS == 0:
            actions += self._contacts.contact_inactive_addresses(1)
        actions += self._platform_calls(now)
        return actions + self._check_ready(now)

    def receive(
        self, sender: str, address: str, sequence: int, message: Message, now: float
    ) -> list[Action]:
        """Handle one message of a peer.

        Args:
            sender: The instance that signed the envelope.
            address: ``ip:port`` the datagram came from.
            sequence: The envelope's sequence number.
            message: The message.
            now: Monotonic seconds.
        """
        actions = self._check_gap(now)
        if sender == self.own.instance:
            return actions
        self._liveness.record_message(sender, now)
        if isinstance(message, Heartbeat):
            actions += self._handle_heartbeat(sender, address, sequence, message, now)
        elif isinstance(message, ProbeRequest):
            actions += self._liveness.relay_probe(address, message, now)
        elif isinstance(message, ProbeReply):
            actions += self._liveness.on_probe_reply(message, now)
        elif isinstance(message, ViewRequest):
            actions.append(self._gossip.view_page(address, message.after, sequence))
        elif isinstance(message, ViewReply):
            actions += self._handle_view_reply(address, message, now)
        return actions + self._check_ready(now)

    def on_stale_incarnation(self, sender: str, address: str) -> list[Action]:
        """Send a peer with an older incarnation the known record, so that it re-joins.

        Its clock went back before it started.
        """
        member = self._table.get(sender)
        if member is None:
            return []
        correction = Heartbeat(self.own, (member,), False, 0)
        return [self._gossip.make_datagram(address, correction)]

    def update_own_record(
        self,
        generation: int,
        load: float,
        shares_version: int,
        now: float,
        can_serve: bool = True,
    ) -> list[Action]:
        """Update the own record; a new load level is announced at once.

        Args:
            generation: The document generation in force here.
            load: Utilization from 0.0 to 1.0.
            shares_version: The version of the connection shares in use.
            now: Monotonic seconds.
            can_serve: Whether callers may be sent here, once the view is confirmed.
        """
        self._can_serve = can_serve
        changed = self.own._replace(
            generation=generation,
            load=round(round(load / LOAD_RESOLUTION) * LOAD_RESOLUTION, 2),
            shares_version=shares_version,
        )
        is_significant = load_level(changed) != load_level(self.own)
        if changed != self.own:
            self._table.own = changed._replace(revision=changed.revision + 1)
        heartbeats = (
            self._gossip.heartbeats_to_sample(CONTACT_FANOUT) if is_significant else []
        )
        return [*heartbeats, *self._check_ready(now)]

    def leave(self, now: float) -> list[Action]:
        """Announce at once that this instance is leaving."""
        self._is_leaving = True
        return self._announce_status(MemberStatus.LEAVING, now)

    def broadcast(self, message: Message) -> list[Action]:
        """Send a message to every member that is not dead."""
        return [
            self._gossip.make_datagram(member.peer_address, message)
            for member in self._table.live_members()
        ]

    def receive_records(self, records: Iterable[Member], now: float) -> list[Action]:
        """Handle the platform's member records; unknown addresses are contacted."""
        self._joining.record_platform_read(now)
        actions: list[Action] = []
        for record in records:
            if record.instance == self.own.instance:
                actions += self._apply_own_record(record, now)
            elif self._table.get(record.instance) is None:
                self._joining.add_candidate(record.peer_address, record.instance, now)
        if not self._joining.confirmed_by:
            actions += self._contacts.contact_sample()
        return actions + self._check_ready(now)

    def receive_own_record(self, record: Member, now: float) -> list[Action]:
        """Handle the own record as read from the platform after a write conflict."""
        return self._apply_own_record(record, now)

    def on_record_lost(self, now: float) -> list[Action]:
        """Schedule a write of the own record, which failed or may have been lost."""
        self._listings.schedule_write_retry(now)
        return []

    def receive_listings(
        self, listings: Iterable[ListedInstance], now: float
    ) -> list[Action]:
        """Handle the platform's list of instances, and announce who is leaving.

        The list is updated late, so it never makes an instance suspect or dead.
        """
        actions = []
        members = (self.own, *self._table.members_by_instance.values())
        sessions = {member.instance: member.session for member in members}
        for instance in self._listings.replace(listings, sessions):
            if instance == self.own.instance:
                actions += self._on_own_mark_changed(now)
            else:
                actions += self._on_mark_changed(instance)
        return actions

    def _on_own_mark_changed(self, now: float) -> list[Action]:
        """Announce the own status after the list marked or unmarked it as leaving."""
        if self._is_leaving:
            return []
        is_marked = self._listings.is_leaving(self.own)
        status = MemberStatus.LEAVING if is_marked else MemberStatus.ALIVE
        return self._announce_status(status, now)

    def _on_mark_changed(self, instance: str) -> list[Action]:
        member = self._table.get(instance)
        if member is None or member.status != MemberStatus.ALIVE:
            return []
        marked = self._listings.with_leaving_mark(member)
        if marked == member:
            return [MemberChanged(member, MemberStatus.LEAVING)]
        # The heartbeat makes the instance read the list and announce its own status.
        heartbeat = Heartbeat(self.own, (marked,), False, 0)
        datagram = self._gossip.make_datagram(member.peer_address, heartbeat)
        return [MemberChanged(marked, member.status), datagram]

    def _announce_status(self, status: MemberStatus, now: float) -> list[Action]:
        own = self.own
        # A lower status needs a new incarnation to replace the previous one.
        increment = int(status < own.status)
        self._table.own = own._replace(
            status=status,
            incarnation=own.incarnation + increment,
            revision=own.revision + 1,
        )
        return [
            MemberChanged(self.own, own.status),
            *self._gossip.heartbeats_to_sample(STATUS_FANOUT),
            self._write_record(now),
        ]

    def _check_gap(self, now: float) -> list[Action]:
        # Without a tick for longer than the lease, this instance was paused, and others
        # may have taken over its leases.
        gap_s = now - self._last_tick_at
        if gap_s <= self._settings.lease_s:
            return []
        return self._rejoin(self.own.incarnation + 1, gap_s, now)

    def _rejoin(self, incarnation: int, gap_s: float, now: float) -> list[Action]:
        self._last_tick_at = now
        self._is_confirmed = False
        self._table.own = self.own._replace(
            incarnation=incarnation, session=incarnation, ready=False
        )
        self._liveness.restart(now)
        self._joining.restart(now)
        return [
            Rejoin(incarnation, gap_s),
            self._write_record(now),
            *self._contacts.contact_sample(),
        ]

    def _check_ready(self, now: float) -> list[Action]:
        others = self._table.members_by_instance.values()
        live_count = sum(member.status != MemberStatus.DEAD for member in others)
        self._joining.confirm_without_peer(live_count, len(others), now)
        actions: list[Action] = []
        if not self._is_confirmed and self._joining.confirmed_by:
            newest = max((member.generation for member in others), default=0)
            self._is_confirmed = self.own.generation >= newest
            if self._is_confirmed:
                actions.append(BecameReady(self._joining.confirmed_by))
        ready = self._is_confirmed and self._can_serve
        return actions + self._announce_ready(ready)

    def _announce_ready(self, ready: bool) -> list[Action]:
        own = self.own
        if ready == own.ready:
            return []
        self._table.own = own._replace(ready=ready, revision=own.revision + 1)
        changed = MemberChanged(self.own, own.status)
        return [changed, *self._gossip.heartbeats_to_sample(CONTACT_FANOUT)]

    def _forget_dead(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for instance in self._table.names_with_status(MemberStatus.DEAD):
            if now - self._table.changed_at_by_instance[instance] >= FORGET_AFTER_S:
                self._liveness.forget(instance)
                actions.append(MemberForgotten(instance))
                actions += self._delete_record(instance)
        for candidate in self._joining.expired_candidates(now, FORGET_AFTER_S):
            actions += self._delete_record(candidate.instance)
        return actions

    def _delete_record(self, instance: str) -> list[Action]:
        """Delete an unlisted instance's record if this instance is responsible."""
        present = [member.instance for member in self.view().present()]
        if instance in self._listings.listed_instances or not present:
            return []
        is_responsible = highest_ranked(instance, present) == self.own.instance
        return [DeleteRecord(instance)] if is_responsible else []

    def _platform_calls(self, now: float) -> list[Action]:
        fleet_size = len(self._table.members_by_instance) + 1
        needs_read = self._joining.needs_platform_read()
        return list(self._listings.due_calls(self.own, now, fleet_size, needs_read))

    def _write_record(self, now: float) -> Action:
        fleet_size = len(self._table.members_by_instance) + 1
        return self._listings.write_record(self.own, now, fleet_size)

    def _apply_record(self, record: Member, now: float) -> list[Action]:
        if record.instance == self.own.instance:
            return self._apply_own_record(record, now)
        self._joining.drop_candidate(record.peer_address)
        return self._liveness.apply_record(record, now)

    def _apply_own_record(self, record: Member, now: float) -> list[Action]:
        """Refute a suspicion, or re-join with a higher incarnation if necessary."""
        own = self.own
        if record.session > own.session:
            # An earlier process of this instance had a clock ahead of this one's.
            return self._rejoin(record.incarnation + 1, 0.0, now)
        if record.incarnation < own.incarnation:
            return []
        if record.incarnation == own.incarnation and not record.needs_refutation:
            if record.status > own.status:
                self._listings.schedule_read(now)
            return []
        refuted = own._replace(incarnation=record.incarnation + 1)
        self._table.own = refuted
        return [
            MemberChanged(refuted, own.status),
            *self._gossip.heartbeats_to_sample(REFUTE_FANOUT),
        ]

    def _handle_heartbeat(
        self, sender: str, address: str, sequence: int, message: Heartbeat, now: float
    ) -> list[Action]:
        if message.member.instance != sender:
            return []
        actions = self._apply_record(message.member, now)
        for record in message.deltas:
            actions += self._apply_record(record, now)
        if not message.is_ack:
            ack = self._gossip.heartbeat(sender, address, is_ack=True, echo=sequence)
            return [*actions, ack]
        actions += self._liveness.forward_ack(message)
        if self._joining.needs_page(now):
            actions.append(self._contacts.request_page(address, "", now))
        return actions

    def _handle_view_reply(
        self, address: str, message: ViewReply, now: float
    ) -> list[Action]:
        actions: list[Action] = []
        for record in message.members:
            actions += self._apply_record(record, now)
        if not self._joining.is_page_expected(message.echo):
            return actions
        if message.last or not message.members:
            self._joining.confirm_by_peer()
            return actions
        after = message.members[-1].instance
        return [*actions, self._contacts.request_page(address, after, now)]
