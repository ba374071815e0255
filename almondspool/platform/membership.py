"""Membership of an instance on the platform: seeds, stored records, heartbeats."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from almondspool.coordination.membership.membership_task import make_membership_task
from almondspool.platform.object_store_platform import ObjectStorePlatform

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from almondspool.coordination.membership.membership_task import MembershipTask
    from almondspool.events import EventBus
    from almondspool.logs import EventLog
    from almondspool.platform.settings import PlatformSettings
    from almondspool.platform.store import ObjectStoreClient
    from almondspool.transport.hub_timers import HubTimers

# Each heartbeat goes to one instance only, so an instance is suspected only after three
# heartbeat intervals without an answer. Address lists leave a suspected instance out;
# one that was only frozen is listed again within seconds.
HEARTBEAT_INTERVAL_S = 0.5
SUSPECT_AFTER_S = 1.5
DEAD_AFTER_S = 4.0
# An instance that was frozen for longer re-joins, and must not act on its view until
# that is confirmed again.
LEASE_S = 4.0


class _MembershipSettings(NamedTuple):
    instance: str
    zone: str
    caller_address: str
    peer_address: str
    seed_peers: tuple[str, ...]
    peer_key: str
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    suspect_after_s: float = SUSPECT_AFTER_S
    dead_after_s: float = DEAD_AFTER_S
    lease_s: float = LEASE_S


def make_platform_membership(
    settings: PlatformSettings,
    store: ObjectStoreClient,
    timers: HubTimers,
    events: EventBus,
    log: EventLog,
    registry: CollectorRegistry,
) -> MembershipTask:
    """Return the membership task of an instance, not started.

    Raises:
        AlmondspoolError: If the peer address is in use.
    """
    membership_settings = _MembershipSettings(
        settings.instance,
        settings.zone,
        settings.caller_address,
        f"{settings.ip}:{settings.peer_port}",
        tuple(f"{ip}:{settings.peer_port}" for ip in settings.seed_ips),
        _peer_key(settings),
    )
    return make_membership_task(
        membership_settings,
        timers.epoch_ms(),
        ObjectStorePlatform(store),
        timers,
        events,
        log,
        registry,
        settings.power,
    )


def _peer_key(settings: PlatformSettings) -> str:
    """Return the key of peer messages, which is the same in the whole deployment.

    It is not secret, as the platform gives its instances no secret: it only makes them
    reject messages of other deployments.
    """
    key_parts = (str(settings.peer_port), *sorted(settings.zones))
    return hashlib.sha256("/".join(key_parts).encode()).hexdigest()
