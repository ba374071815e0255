"""Follows kinds of the store, directly or through an instance that watches them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import eventlet
from eventlet import hubs

from almondspool.platform.mirror import KindMirror, MirrorEndpoints
from almondspool.platform.store import ObjectStoreClient
from almondspool.platform.watches import (
    PEER_WATCH_TIMEOUT_MARGIN_S,
    PEER_WATCH_WAIT_S,
    KindWatch,
    StaleWatchError,
    WatchSource,
)
from almondspool.routing.watcher_selector import InitialReadDelay, fallback_order

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.codes import ResultCode
    from almondspool.logs import EventLog
    from almondspool.platform.settings import PlatformSettings
    from almondspool.platform.store import StorePosition
    from almondspool.platform.watches import KindHandler
    from almondspool.routing.watcher_selector import WatcherSelector
    from almondspool.state.members import Member, View
    from almondspool.transport.timers import TimerService

# Limit on the instances that are asked, one after the other, for a list while the store
# is unreachable; each may take the full timeout of a call.
MAX_FALLBACK_PEERS = 4


class FleetStartState(NamedTuple):
    """State of the fleet as a starting instance sees it.

    Attributes:
        is_view_known: Whether this instance knows the members, so that it can choose
            one to read from.
        is_new: Whether the whole fleet starts for the first time, not this instance
            alone.
        known_instance_count: Number of instances according to their records; 0 if the
            records have not been read yet.
    """

    is_view_known: bool
    is_new: bool
    known_instance_count: int


class StoreFollowerDependencies(NamedTuple):
    """Collaborators of a StoreFollower.

    Attributes:
        timers: The timer service.
        log: The event log.
        rng: Adds jitter to the retries of many instances.
        store: Client of the store.
        view: Returns the membership.
        watcher_selector: Chooses the instance to follow, or the store.
        record_peer_call: Called with the verb and the result of each call to another
            instance.
    """

    timers: TimerService
    log: EventLog
    rng: random.Random
    store: ObjectStoreClient
    view: Callable[[], View]
    watcher_selector: WatcherSelector
    record_peer_call: Callable[[str, ResultCode], None]


class StoreFollower:
    """Follows kinds of the store and mirrors them for instances that follow this one.

    Attributes:
        mirror_endpoints: Answers the calls of instances that follow this one.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        dependencies: StoreFollowerDependencies,
        kinds: tuple[str, ...],
    ) -> None:
        """Prepare to mirror the given kinds; follow() starts to read one of them."""
        self._settings = settings
        self._dependencies = dependencies
        self._peer_clients_by_address: dict[str, ObjectStoreClient] = {}
        self._threads_by_kind: dict[str, eventlet.greenthread.GreenThread] = {}
        self._mirrors_by_kind = {
            kind: KindMirror(dependencies.timers) for kind in kinds
        }
        self.mirror_endpoints = MirrorEndpoints(self._mirrors_by_kind)

    def follow(
        self,
        kind: str,
        handler: KindHandler,
        min_interval_s: Callable[[], float],
        member_revision: Callable[[Member], int],
        fleet_start_state: Callable[[], FleetStartState] | None = None,
    ) -> None:
        """Start to follow a kind in a green thread of its own.

        Args:
            kind: One of the mirrored kinds.
            handler: Called with each list and with the changes of each watch.
            min_interval_s: Returns the pause between two watches of the store, in
                seconds.
            member_revision: Returns the revision of the kind in a member's record.
            fleet_start_state: Returns the state of the fleet, for a kind whose first
                read waits until the fleet is known; None to read at once.
        """

        def first_read_delay_s(waited_s: float) -> float:
            if fleet_start_state is None:
                return 0.0
            is_watcher = self._dependencies.watcher_selector.is_watcher(kind)
            start_state = fleet_start_state()
            return InitialReadDelay(
                waited_s,
                start_state.is_view_known,
                is_watcher,
                start_state.is_new,
                start_state.known_instance_count,
            ).delay_s()

        watch = KindWatch(
            kind,
            lambda failures: self._choose_source(kind, failures),
            handler,
            self._mirrors_by_kind[kind],
            self._dependencies.timers.now,
            self._dependencies.rng,
            self._dependencies.log,
            min_interval_s,
            lambda: self._fallback_peers(member_revision),
            first_read_delay_s,
        )
        self._threads_by_kind[kind] = eventlet.spawn(watch.run)

    def position(self, kind: str) -> StorePosition:
        """Return the position of a kind's mirror; NO_POSITION before the first list."""
        return self._mirrors_by_kind[kind].position

    def relist(self, kind: str) -> None:
        """Interrupt a kind's watch and list the kind, as a member has a newer revision.

        If the store is unreachable, the kind is listed from other instances.
        """
        thread = self._threads_by_kind[kind]
        error = StaleWatchError(f"a member knows a newer {kind}")
        hubs.get_hub().schedule_call_global(0, thread.throw, error)

    def _fallback_peers(
        self, member_revision: Callable[[Member], int]
    ) -> list[ObjectStoreClient]:
        """Return clients of other instances.

        Besides the members, these are the seeds, whose addresses are known without the
        membership.
        """
        settings = self._settings
        members = self._dependencies.view().present()
        addresses = [
            member.peer_address for member in fallback_order(members, member_revision)
        ]
        addresses += [f"{ip}:{settings.peer_port}" for ip in settings.seed_ips]
        own_address = f"{settings.ip}:{settings.peer_port}"
        other_addresses = [
            address for address in dict.fromkeys(addresses) if address != own_address
        ]
        return [
            self._peer_client(address)
            for address in other_addresses[:MAX_FALLBACK_PEERS]
        ]

    def _peer_client(self, address: str) -> ObjectStoreClient:
        client = self._peer_clients_by_address.get(address)
        if client is None:
            client = ObjectStoreClient(address, self._dependencies.record_peer_call)
            self._peer_clients_by_address[address] = client
        return client

    def _choose_source(self, kind: str, failures: int) -> WatchSource:
        instance = self._dependencies.watcher_selector.choose_source(kind, failures)
        member = self._dependencies.view().members_by_instance.get(instance)
        if member is None:
            return WatchSource("", self._dependencies.store)
        peer_client = self._peer_client(member.peer_address)
        return WatchSource(
            instance, peer_client, PEER_WATCH_WAIT_S, PEER_WATCH_TIMEOUT_MARGIN_S
        )
