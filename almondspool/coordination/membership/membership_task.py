"""Task that runs the membership: heartbeats, ticks and platform calls."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import eventlet
import prometheus_client
from eventlet import event, queue

from almondspool.codes import ResultCode
from almondspool.coordination.membership.member_actions import (
    BecameReady,
    MemberChanged,
    MemberForgotten,
    Rejoin,
    SendDatagram,
)
from almondspool.coordination.membership.member_records import (
    MemberRecords,
    PlatformAction,
)
from almondspool.coordination.membership.membership import Membership
from almondspool.coordination.membership.membership_settings import MembershipSettings
from almondspool.events import (
    MEMBER_READY,
    MEMBER_REJOINED,
    MEMBER_VIEW_CHANGED,
    REQUEST_SUSPECTED,
)
from almondspool.protocol.peer import PeerCodec, Suspicion
from almondspool.state.members import Member, MemberStatus
from almondspool.transport.heartbeats import HeartbeatMetrics, HeartbeatSocket

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.coordination.membership.member_actions import Action
    from almondspool.events import EventBus
    from almondspool.logs import EventLog
    from almondspool.protocol.platform import PlatformInterface
    from almondspool.state.members import View
    from almondspool.transport.heartbeats import Datagram
    from almondspool.transport.timers import TimerHandle, TimerService

# Maximum number of queued events; a green thread that posts another one waits.
MAX_INBOX_LENGTH = 4096


class OwnRecordUpdate(NamedTuple):
    """The fields of the own record that change while the instance runs.

    Attributes:
        generation: The document generation in force here.
        load: Utilization from 0.0 to 1.0.
        shares_version: The version of the connection shares in use.
        can_serve: Whether callers may be sent here, once the view is confirmed.
    """

    generation: int
    load: float
    shares_version: int
    can_serve: bool = True


class MembershipTask:
    """Owns the membership and its socket; one inbox orders all events.

    One green thread executes the events, another the platform calls, and a third
    receives datagrams.

    Subscribers of MEMBER_REJOINED must have closed all connections and given up all
    leases when they return: only then does the task announce the new session.
    """

    def __init__(
        self,
        membership: Membership,
        heartbeats: HeartbeatSocket,
        records: MemberRecords,
        timers: TimerService,
        events: EventBus,
        log: EventLog,
        registry: prometheus_client.CollectorRegistry,
    ) -> None:
        """Create the task without starting it; see make_membership_task."""
        self._membership = membership
        self._heartbeats = heartbeats
        self._records = records
        self._timers = timers
        self._events = events
        self._log = log
        self._members_gauge = prometheus_client.Gauge(
            "almondspool_members",
            "Known instances by status.",
            ["status"],
            registry=registry,
        )
        self._inbox: queue.LightQueue = queue.LightQueue(MAX_INBOX_LENGTH)
        self._platform_inbox: queue.LightQueue = queue.LightQueue()
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._tick_timer: TimerHandle | None = None

    def start(self, heartbeat_interval_s: float) -> None:
        """Start the green threads, announce this instance and send heartbeats."""
        membership = self._membership
        self._threads = [
            eventlet.spawn(self._run),
            eventlet.spawn(self._run_platform),
            eventlet.spawn(
                self._heartbeats.receive_forever,
                self._on_datagram,
                self._on_stale_incarnation,
            ),
        ]
        self._post(membership.start)
        self._tick_timer = self._timers.subscribe(
            heartbeat_interval_s, lambda: self._post(membership.tick)
        )

    def stop(self) -> None:
        """End the green threads and close the socket."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        for thread in self._threads:
            thread.kill()
        self._heartbeats.close()

    def view(self) -> View:
        """Return the current membership."""
        return self._membership.view()

    def recorded_members(self) -> tuple[Member, ...]:
        """Return the platform's member records as of the last read."""
        return self._records.last_records

    def own(self) -> Member:
        """Return the own record."""
        return self._membership.own

    def is_live(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation of an instance may still be running."""
        return self.view().is_live(instance, incarnation)

    def may_act(self) -> bool:
        """Return whether this instance may act on its view and leases now."""
        return self._membership.may_act(self._timers.now())

    def listed_instances(self) -> frozenset[str]:
        """Return the instances in the platform's list as of the last read."""
        return self._membership.listed_instances()

    def propagation_time_s(self) -> float:
        """Return the time in which a change should reach all instances, in seconds."""
        return self._membership.propagation_time_s()

    def on_view_changed(self, callback: Callable[[object], None]) -> None:
        """Call ``callback`` with a MemberChanged or MemberForgotten on each change."""
        self._events.subscribe(MEMBER_VIEW_CHANGED, callback)

    def update_own_record(self, state: OwnRecordUpdate) -> None:
        """Update the own record soon, in the task's green thread."""
        self._post(
            lambda now: self._membership.update_own_record(
                state.generation,
                state.load,
                state.shares_version,
                now,
                state.can_serve,
            )
        )

    def announce_leaving(self) -> None:
        """Announce that this instance is leaving; return once the messages are sent."""
        done = event.Event()

        def leave(now: float) -> list[Action]:
            actions = self._membership.leave(now)
            self._execute(actions)
            done.send(None)
            return []

        self._post(leave)
        done.wait()

    def broadcast(self, message: Suspicion) -> None:
        """Send a message to all instances not dead, by datagram and without retry."""
        self._post(lambda _: self._membership.broadcast(message))

    def _post(self, decide: Callable[[float], Sequence[Action]]) -> None:
        self._inbox.put(decide)

    def _run(self) -> None:
        while True:
            decide = self._inbox.get()
            try:
                self._execute(decide(self._timers.now()))
            except Exception as error:
                # An error in one step must not end the task; the next tick continues.
                self._log.write(
                    "member.internal_error",
                    code=ResultCode.INTERNAL.name,
                    reason=repr(error),
                )

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, SendDatagram):
                self._heartbeats.send(self._membership.own.instance, action)
            elif isinstance(action, PlatformAction):
                self._platform_inbox.put(action)
            else:
                self._report(action)

    def _report(self, action: Action) -> None:
        if isinstance(action, Rejoin):
            self._log.write("member.rejoin", **action._asdict())
            self._events.emit(MEMBER_REJOINED, action)
        elif isinstance(action, BecameReady):
            self._log.write("member.ready", source=action.source)
            self._events.emit(MEMBER_READY, action)
        elif isinstance(action, MemberChanged):
            self._log_change(action)
            self._events.emit(MEMBER_VIEW_CHANGED, action)
        elif isinstance(action, MemberForgotten):
            self._log.write("member.forgotten", instance=action.instance)
            self._events.emit(MEMBER_VIEW_CHANGED, action)
        self._count_members()

    def _log_change(self, action: MemberChanged) -> None:
        member = action.member
        self._log.write(
            "member.changed",
            instance=member.instance,
            status=member.status.name,
            former="NEW"
            if action.previous_status is None
            else action.previous_status.name,
            incarnation=member.incarnation,
            ready=member.ready,
        )

    def _count_members(self) -> None:
        members = self.view().members_by_instance.values()
        for status in MemberStatus:
            count = sum(member.status == status for member in members)
            self._members_gauge.labels(status.name).set(count)

    def _on_datagram(self, datagram: Datagram) -> None:
        if isinstance(datagram.message, Suspicion):
            self._events.emit(REQUEST_SUSPECTED, datagram.message)
            return
        self._post(
            lambda now: self._membership.receive(
                datagram.sender,
                datagram.address,
                datagram.sequence,
                datagram.message,
                now,
            )
        )

    def _on_stale_incarnation(self, sender: str, address: str) -> None:
        self._post(lambda now: self._membership.on_stale_incarnation(sender, address))

    def _run_platform(self) -> None:
        while True:
            for decide in self._records.execute(self._platform_inbox.get()):
                self._post(decide)


def make_membership_task(
    settings: object,
    incarnation: int,
    platform: PlatformInterface,
    timers: TimerService,
    events: EventBus,
    log: EventLog,
    registry: prometheus_client.CollectorRegistry,
    cpu_cores: float = 0.0,
) -> MembershipTask:
    """Create the task, not started, and bind its socket.

    Args:
        settings: The checked settings of the instance.
        incarnation: Higher than that of any earlier process of this instance, usually
            milliseconds since the epoch.
        platform: Calls to the platform.
        timers: The timer service.
        events: Where changes are published.
        log: The event log.
        registry: Where the metrics are registered.
        cpu_cores: The processor capacity of this instance in cores; 0.0 if unknown.

    Raises:
        AlmondspoolError: With ADDRESS_IN_USE or START_FAILED.
    """
    own = Member(
        instance=settings.instance,
        incarnation=incarnation,
        zone=settings.zone,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        cpu_cores=cpu_cores,
    )
    membership_settings = MembershipSettings(
        heartbeat_interval_s=settings.heartbeat_interval_s,
        suspect_after_s=settings.suspect_after_s,
        dead_after_s=settings.dead_after_s,
        lease_s=settings.lease_s,
        seed_peers=tuple(settings.seed_peers),
    )
    rng = random.Random(f"{own.instance}/{own.incarnation}")
    membership = Membership(own, membership_settings, rng)
    metrics = HeartbeatMetrics(registry)
    codec = PeerCodec(settings.peer_key)
    heartbeats = HeartbeatSocket(settings.peer_address, codec, timers, log, metrics)
    records = MemberRecords(membership, platform, log, registry)
    return MembershipTask(
        membership, heartbeats, records, timers, events, log, registry
    )
