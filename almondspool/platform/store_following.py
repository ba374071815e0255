"""What an instance follows in the store, itself or through another instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import eventlet
from eventlet import hubs

from almondspool.platform.mirror import KindMirror, MirrorHandler
from almondspool.platform.store import ObjectStoreClient
from almondspool.platform.watches import (
    RELAY_TIMEOUT_MARGIN_S,
    RELAY_WAIT_S,
    BehindError,
    KindWatch,
    Source,
)
from almondspool.routing.watch_duty import InitialReadDelay

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.codes import ResultCode
    from almondspool.logs import EventLog
    from almondspool.platform.settings import PlatformSettings
    from almondspool.platform.watches import KindFollower
    from almondspool.routing.watch_duty import WatcherSelector
    from almondspool.state.members import View
    from almondspool.transport.timers import TimerService

# Instances asked in turn by one that starts while the store is away; each may take
# a call's whole timeout.
MAX_LENDERS = 4


class FleetKnowledge(NamedTuple):
    """What an instance that starts knows of its fleet.

    Attributes:
        is_view_known: Whether the members are known.
        is_new: Whether the whole fleet starts for the first time.
    """

    is_view_known: bool
    is_new: bool


class FollowingServices(NamedTuple):
    """What following needs of the instance.

    Attributes:
        timers: The timer service.
        log: The event log.
        rng: Spreads the retries of many instances.
        store: The store's client.
        view: Returns the membership.
        watcher_selector: Chooses whom to follow.
        note_relay_call: Takes verb and result of each call to another instance.
    """

    timers: TimerService
    log: EventLog
    rng: random.Random
    store: ObjectStoreClient
    view: Callable[[], View]
    watcher_selector: WatcherSelector
    note_relay_call: Callable[[str, ResultCode], None]


class StoreFollowing:
    """Follows kinds of the store and keeps them for instances that follow this one.

    Attributes:
        calls: Answers the instances that follow this one.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        services: FollowingServices,
        kinds: tuple[str, ...],
    ) -> None:
        """Mirror the given kinds; follow() begins to read one."""
        self._settings = settings
        self._services = services
        self._relays_by_address: dict[str, ObjectStoreClient] = {}
        self._threads_by_kind: dict[str, eventlet.greenthread.GreenThread] = {}
        self._mirrors_by_kind = {kind: KindMirror(services.timers) for kind in kinds}
        self.calls = MirrorHandler(self._mirrors_by_kind)

    def follow(
        self,
        kind: str,
        follower: KindFollower,
        gap_s: float,
        knowledge: Callable[[], FleetKnowledge] | None = None,
    ) -> None:
        """Begin to follow a kind in a green thread of its own.

        Args:
            kind: One of the mirrored kinds.
            follower: Takes what changes.
            gap_s: Least time between two watches of the store, in seconds.
            knowledge: Returns what is known of the fleet, for a kind whose first read
                waits for that; None to read at once.
        """

        def first_read_delay_s(waited_s: float) -> float:
            if knowledge is None:
                return 0.0
            is_watcher = self._services.watcher_selector.is_watcher(kind)
            known = knowledge()
            return InitialReadDelay(
                waited_s, known.is_view_known, is_watcher, known.is_new
            ).delay_s()

        watch = KindWatch(
            kind,
            lambda failures: self._choose_source(kind, failures),
            follower,
            self._mirrors_by_kind[kind],
            self._services.rng,
            self._services.log,
            gap_s,
            self._lenders,
            first_read_delay_s,
        )
        self._threads_by_kind[kind] = eventlet.spawn(watch.run)

    def revision(self, kind: str) -> int:
        """Return the revision up to which a kind is known here; 0 before the first."""
        return self._mirrors_by_kind[kind].revision

    def read_again(self, kind: str) -> None:
        """Read a kind anew of which a member knows more; ask members if that fails."""
        thread = self._threads_by_kind[kind]
        error = BehindError(f"a member knows a newer {kind}")
        hubs.get_hub().schedule_call_global(0, thread.throw, error)

    def _lenders(self) -> list[ObjectStoreClient]:
        """Return a few other instances, the seeds first: they need no membership."""
        settings = self._settings
        addresses = [f"{ip}:{settings.peer_port}" for ip in settings.seed_ips]
        members = self._services.view().present()
        addresses += [member.peer_address for member in members]
        own = f"{settings.ip}:{settings.peer_port}"
        others = [each for each in dict.fromkeys(addresses) if each != own]
        return [self._relay(each) for each in others[:MAX_LENDERS]]

    def _relay(self, address: str) -> ObjectStoreClient:
        client = self._relays_by_address.get(address)
        if client is None:
            client = ObjectStoreClient(address, self._services.note_relay_call)
            self._relays_by_address[address] = client
        return client

    def _choose_source(self, kind: str, failures: int) -> Source:
        name = self._services.watcher_selector.choose_source(kind, failures)
        member = self._services.view().members_by_instance.get(name)
        if member is None:
            return Source("", self._services.store)
        relay = self._relay(member.peer_address)
        return Source(name, relay, RELAY_WAIT_S, RELAY_TIMEOUT_MARGIN_S)
