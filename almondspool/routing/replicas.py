"""Registry of the replicas that accept new requests.

It combines the entries of replicas in the store with the outcomes of the legs that this
instance sent.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.routing.ended_incarnations import (
    EndedIncarnations,
    Incarnation,
    incarnation_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from almondspool.logs import EventLog
    from almondspool.state.routes import Replica

# Entries that expired during an outage of the store, or that it has lost as it returned
# from an older copy, are renewed within about two seconds of its end.
EXPIRY_GRACE_S = 2.5
# A removal may be read this much later: by the pause between two watches, which is a
# second, and by the delays of the network and of the event loop.
MAX_REMOVAL_READ_DELAY_S = 1.25
# An entry expires after three heartbeats, and the last one before an outage is at most
# one interval old when it begins: a shorter loss of the store expires no entry.
MIN_OUTAGE_HEARTBEATS = 2.0
# The store removes the entry of a replica that has been silent for this long.
EXPIRY_HEARTBEATS = 3.0
# A watch may block throughout an outage without failing. Expired entries then differ
# from removed ones only in how many disappear together without draining first: at most
# a sixth of the replicas are replaced or lost at a time. Entries that disappear
# together count as expired if, without draining replicas, they are at least this share
# of all and at least this many.
MASS_EXPIRY_SHARE = 1.0 / 3.0
MIN_MASS_EXPIRY = 4
# How long the incarnation of a replica that announced its shutdown is remembered: its
# entry may be read again from another instance that does not know yet that the replica
# has stopped.
LEAVING_INCARNATION_TTL_S = 1800.0


class _Entry(NamedTuple):
    """A replica, and when it is dropped unless its entry is renewed.

    Times are in monotonic seconds, and infinite while the replica has an entry in the
    store.
    """

    replica: Replica
    drop_at: float = math.inf
    lapsed_at: float = math.inf


class EntryTimes(NamedTuple):
    """The platform's times of entries, in seconds.

    Attributes:
        heartbeat_s: Interval at which replicas renew their entries.
        drain_s: How long a replica serves after its entry was removed.
    """

    heartbeat_s: float = 1.2
    drain_s: float = 3.0


_DEFAULT_TIMES = EntryTimes()


class ReplicaRegistry:
    """Replicas by service, from the store's entries and the outcomes of legs.

    Attributes:
        is_loaded: Whether a complete list of the store's entries has been read.
    """

    def __init__(
        self,
        log: EventLog,
        on_removed: Callable[[str], None],
        times: EntryTimes = _DEFAULT_TIMES,
    ) -> None:
        """Start empty.

        Args:
            log: The event log.
            on_removed: Called with the id of a replica that is gone, has moved or
                restarted or is stopping, so that its connections and statistics are
                dropped.
            times: The platform's times of entries.
        """
        self._log = log
        self._on_removed = on_removed
        self._times = times
        self._entries_by_id: dict[str, _Entry] = {}
        self._misdirected_address_by_id: dict[str, str] = {}
        self._left_at_by_incarnation: dict[Incarnation, float] = {}
        self._usable_by_service: dict[str, tuple[Replica, ...]] = {}
        self._is_store_reachable = True
        self._store_lost_at = -math.inf
        self._store_regained_at = -math.inf
        self._store_restored_at = -math.inf
        self._ended = EndedIncarnations(
            EXPIRY_HEARTBEATS * times.heartbeat_s + MAX_REMOVAL_READ_DELAY_S
        )
        self.is_loaded = False

    def set_store_reachable(self, now: float, is_reachable: bool) -> None:
        """Set whether the store is reachable, and note when an outage ends."""
        if is_reachable and not self._is_store_reachable:
            self._store_regained_at = now
        elif self._is_store_reachable and not is_reachable:
            self._store_lost_at = now
        self._is_store_reachable = is_reachable

    def set_store_restored(self, now: float) -> None:
        """Note that the store has returned from an older copy of the entries."""
        self._store_restored_at = now
        self._ended.on_store_restored(now)

    def replace_all(self, now: float, replicas: Iterable[Replica]) -> None:
        """Replace all entries by a complete list read from the store."""
        self.is_loaded = True
        listed_ids: set[str] = set()
        for replica in replicas:
            listed_ids.add(replica.replica_id)
            if self._ended.hold_back(now, replica):
                self._log.write(
                    "replica.held_back",
                    replica=replica.replica_id,
                    service=replica.service,
                    restored_s=now - self._store_restored_at,
                )
                continue
            self.put(now, replica)
        self.remove_all(now, self._entries_by_id.keys() - listed_ids)

    def put(self, now: float, replica: Replica) -> None:
        """Add or update an entry that was written to the store."""
        self._ended.discard(replica.replica_id)
        entry = self._entries_by_id.get(replica.replica_id)
        previous = entry.replica if entry else None
        if previous == replica and entry.drop_at == math.inf:
            return
        if previous is not None and _is_new_incarnation(previous, replica):
            self._on_removed(replica.replica_id)
            self._ended.record(now, previous)
        if replica.is_draining:
            self._ended.record(now, replica)
        misdirected = self._misdirected_address_by_id.get(replica.replica_id)
        if misdirected is not None and (
            misdirected != replica.address
            or previous is None
            or _is_new_incarnation(previous, replica)
        ):
            del self._misdirected_address_by_id[replica.replica_id]
        if entry is not None and entry.drop_at < math.inf:
            self._log.write(
                "replica.renewed",
                replica=replica.replica_id,
                kept_s=now - entry.lapsed_at,
            )
        self._entries_by_id[replica.replica_id] = _Entry(replica)
        self._invalidate_service(replica.service, previous)
        if previous is None or previous.is_draining != replica.is_draining:
            self._log.write(
                "replica.known",
                replica=replica.replica_id,
                service=replica.service,
                address=replica.address,
                zone=replica.zone,
                draining=replica.is_draining,
            )

    def drop_malformed(self, now: float, replica_ids: Iterable[str]) -> None:
        """Drop the replicas whose entries have become malformed."""
        for replica_id in replica_ids:
            if replica_id in self._entries_by_id:
                self._drop(now, replica_id, "entry_malformed")

    def remove_all(self, now: float, replica_ids: Iterable[str]) -> None:
        """Remove entries; those that probably expired are kept for a grace period.

        Args:
            now: Monotonic seconds.
            replica_ids: Ids of the entries that disappeared together.
        """
        entries = {key: self._entries_by_id.get(key) for key in sorted(replica_ids)}
        for replica_id in entries:
            self._ended.discard(replica_id)
        removed = {
            key: entry
            for key, entry in entries.items()
            if entry and entry.drop_at == math.inf
        }
        active_count = sum(not entry.replica.is_draining for entry in removed.values())
        expired_since = self._expired_since(now, active_count)
        drop_at = self._drop_at(now, expired_since)
        for replica_id, entry in removed.items():
            if drop_at <= now or entry.replica.is_draining:
                self._drop(now, replica_id, "entry_removed")
                continue
            self._entries_by_id[replica_id] = entry._replace(
                drop_at=drop_at, lapsed_at=now
            )
            self._log.write(
                "replica.lapsed",
                replica=replica_id,
                since_s=now - expired_since,
                together=active_count,
                keep_s=drop_at - now,
                lost_s=now - self._store_lost_at,
                regained_s=now - self._store_regained_at,
                restored_s=now - self._store_restored_at,
            )

    def _drop_at(self, now: float, expired_since: float) -> float:
        """Return until when to keep replicas whose entries disappeared now.

        An expired entry cannot be told from a removed one, so none is kept for longer
        than a replica serves after its entry was removed.
        """
        longest_s = self._times.drain_s - MAX_REMOVAL_READ_DELAY_S
        return min(expired_since + EXPIRY_GRACE_S, now + max(0.0, longest_s))

    def _expired_since(self, now: float, active_count: int) -> float:
        """Return when entries may have expired, or minus infinity if they were removed.

        Args:
            now: Monotonic seconds.
            active_count: How many replicas that were not draining disappeared together.
        """
        if not active_count:
            return -math.inf
        if now - self._store_restored_at < EXPIRY_GRACE_S:
            return self._store_restored_at
        outage_s = self._store_regained_at - self._store_lost_at
        if (
            outage_s >= MIN_OUTAGE_HEARTBEATS * self._times.heartbeat_s
            and now - self._store_regained_at < EXPIRY_GRACE_S
        ):
            return self._store_regained_at
        active_total = sum(
            not entry.replica.is_draining for entry in self._entries_by_id.values()
        )
        is_mass_expiry = active_count >= max(
            MIN_MASS_EXPIRY, MASS_EXPIRY_SHARE * active_total
        )
        return now if is_mass_expiry else -math.inf

    def next_drop_at(self) -> float:
        """Return when the next kept replica is due to be dropped; infinite if none."""
        return min(
            (entry.drop_at for entry in self._entries_by_id.values()), default=math.inf
        )

    def drop_expired(self, now: float) -> None:
        """Drop replicas whose entries were not renewed; use those held back in time."""
        for replica in self._ended.take_confirmed(now):
            self.put(now, replica)
        self._left_at_by_incarnation = {
            incarnation: left_at
            for incarnation, left_at in self._left_at_by_incarnation.items()
            if now - left_at < LEAVING_INCARNATION_TTL_S
        }
        due = [
            key for key, entry in self._entries_by_id.items() if entry.drop_at <= now
        ]
        for replica_id in due:
            self._drop(now, replica_id, "entry_not_renewed")

    def on_misdirected(self, replica: Replica) -> None:
        """Stop using a replica whose address another upstream has taken over."""
        replica_id = replica.replica_id
        if replica_id not in self._entries_by_id:
            return
        self._misdirected_address_by_id[replica_id] = replica.address
        self._usable_by_service.pop(replica.service, None)
        self._on_removed(replica_id)
        self._log.write(
            "replica.misdirected", replica=replica_id, address=replica.address
        )

    def on_leaving(self, now: float, replica: Replica, request_id: str) -> None:
        """Stop using a replica that announced its shutdown in a reply.

        Args:
            now: Monotonic seconds.
            replica: The replica as it was when the request was sent.
            request_id: The request of that reply, for the log.
        """
        incarnation = incarnation_of(replica)
        if incarnation in self._left_at_by_incarnation:
            return
        self._left_at_by_incarnation[incarnation] = now
        self._usable_by_service.pop(replica.service, None)
        entry = self._entries_by_id.get(replica.replica_id)
        is_present = entry is not None and incarnation_of(entry.replica) == incarnation
        if is_present:
            self._on_removed(replica.replica_id)
        self._log.write(
            "replica.leaving",
            replica=replica.replica_id,
            service=replica.service,
            address=replica.address,
            request=request_id,
            known=is_present,
        )

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether this incarnation of a replica announced its shutdown."""
        return incarnation_of(replica) in self._left_at_by_incarnation

    def usable(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service that accept new requests, by id."""
        usable = self._usable_by_service.get(service)
        if usable is None:
            found = (
                entry.replica
                for replica_id, entry in self._entries_by_id.items()
                if entry.replica.service == service
                and not entry.replica.is_draining
                and replica_id not in self._misdirected_address_by_id
                and incarnation_of(entry.replica) not in self._left_at_by_incarnation
            )
            usable = tuple(sorted(found, key=lambda replica: replica.replica_id))
            self._usable_by_service[service] = usable
        return usable

    def all(self) -> tuple[Replica, ...]:
        """Return every known replica, including those that accept no new requests."""
        return tuple(entry.replica for entry in self._entries_by_id.values())

    def _drop(self, now: float, replica_id: str, reason: str) -> None:
        entry = self._entries_by_id.pop(replica_id)
        self._ended.record(now, entry.replica)
        self._misdirected_address_by_id.pop(replica_id, None)
        self._usable_by_service.pop(entry.replica.service, None)
        self._on_removed(replica_id)
        self._log.write(
            "replica.gone",
            replica=replica_id,
            service=entry.replica.service,
            reason=reason,
            kept_s=max(0.0, now - entry.lapsed_at),
        )

    def _invalidate_service(self, service: str, previous: Replica | None) -> None:
        self._usable_by_service.pop(service, None)
        if previous is not None and previous.service != service:
            self._usable_by_service.pop(previous.service, None)


def _is_new_incarnation(previous: Replica, replica: Replica) -> bool:
    has_moved = (
        previous.address != replica.address or previous.service != replica.service
    )
    return has_moved or previous.started_ms != replica.started_ms
