"""Registry of the replicas that may take new work.

It combines their entries in the store with what this instance's own legs show.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from almondspool.logs import EventLog
    from almondspool.state.routes import Replica

# Entries that expired during an outage of the store are renewed within two seconds of
# its end, and seen here a second later, as consecutive watches are that far apart.
LAPSE_GRACE_S = 3.0
# A watch may block throughout an outage without failing. Expired entries then differ
# from removed ones only in how many disappear together without draining first:
# replicas are replaced or lost by a sixth of the fleet at a time at most.
LAPSE_SHARE = 1.0 / 3.0
MIN_LAPSED = 4
# Removals up to this long after an outage may be expired entries.
OUTAGE_MEMORY_S = 4.0
# How long the incarnation of an upstream that announced its end is remembered: its
# entry may be read again from a member that does not know yet that it has ended.
LEAVING_MEMORY_S = 1800.0


class _Row(NamedTuple):
    replica: Replica
    drop_at: float = math.inf


class _Start(NamedTuple):
    """Identity of one run of a replica; it changes with every restart."""

    replica_id: str
    address: str
    started_ms: int


class ReplicaRegistry:
    """Replicas by service, from the store's entries and the outcomes of legs.

    Attributes:
        is_known: Whether a complete list of entries was read.
    """

    def __init__(self, log: EventLog, on_removed: Callable[[str], None]) -> None:
        """Start empty.

        Args:
            log: The event log.
            on_removed: Called with the id of a replica that is gone, moved or has
                restarted, so that its connections and statistics are dropped.
        """
        self._log = log
        self._on_removed = on_removed
        self._rows_by_id: dict[str, _Row] = {}
        self._lost_address_by_id: dict[str, str] = {}
        self._left_at_by_start: dict[_Start, float] = {}
        self._usable_by_service: dict[str, tuple[Replica, ...]] = {}
        self._is_reachable = True
        self._regained_at = -math.inf
        self.is_known = False

    def note_store(self, now: float, is_reachable: bool) -> None:
        """Set whether the store is reachable."""
        if is_reachable and not self._is_reachable:
            self._regained_at = now
        self._is_reachable = is_reachable

    def replace_all(self, now: float, replicas: Iterable[Replica]) -> None:
        """Replace all entries by a complete list."""
        self.is_known = True
        present: set[str] = set()
        for replica in replicas:
            present.add(replica.replica_id)
            self.put(now, replica)
        self.remove_all(now, self._rows_by_id.keys() - present)

    def put(self, now: float, replica: Replica) -> None:
        """Add or update an entry."""
        row = self._rows_by_id.get(replica.replica_id)
        known = row.replica if row else None
        if known == replica and row.drop_at == math.inf:
            return
        if known is not None and _is_new_start(known, replica):
            self._on_removed(replica.replica_id)
        lost = self._lost_address_by_id.get(replica.replica_id)
        if lost is not None and (
            lost != replica.address or known is None or _is_new_start(known, replica)
        ):
            del self._lost_address_by_id[replica.replica_id]
        self._rows_by_id[replica.replica_id] = _Row(replica)
        self._forget_service(replica.service, known)
        if known is None or known.is_draining != replica.is_draining:
            self._log.write(
                "replica.known",
                replica=replica.replica_id,
                service=replica.service,
                address=replica.address,
                zone=replica.zone,
                draining=replica.is_draining,
            )

    def remove_all(self, now: float, replica_ids: Iterable[str]) -> None:
        """Remove entries, but keep those that probably expired for a grace period.

        Args:
            now: Monotonic seconds.
            replica_ids: Ids of the entries that disappeared together.
        """
        known = {key: self._rows_by_id.get(key) for key in sorted(replica_ids)}
        gone = {
            key: row for key, row in known.items() if row and row.drop_at == math.inf
        }
        abrupt = sum(not row.replica.is_draining for row in gone.values())
        lapsed_since = self._lapsed_since(now, abrupt)
        for replica_id, row in gone.items():
            if lapsed_since is None or row.replica.is_draining:
                self._drop(replica_id, "entry_removed")
                continue
            drop_at = max(now, lapsed_since + LAPSE_GRACE_S)
            self._rows_by_id[replica_id] = row._replace(drop_at=drop_at)
            self._log.write(
                "replica.lapsed",
                replica=replica_id,
                since_s=now - lapsed_since,
                together=abrupt,
            )

    def _lapsed_since(self, now: float, abrupt: int) -> float | None:
        """Return since when entries may have expired, or None if they were removed."""
        if not abrupt:
            return None
        if now - self._regained_at < OUTAGE_MEMORY_S:
            return self._regained_at
        steady = sum(not row.replica.is_draining for row in self._rows_by_id.values())
        is_mass = abrupt >= max(MIN_LAPSED, LAPSE_SHARE * steady)
        return now if is_mass else None

    def sweep(self, now: float) -> None:
        """Drop the replicas whose entries were not renewed within the grace period."""
        self._left_at_by_start = {
            start: left_at
            for start, left_at in self._left_at_by_start.items()
            if now - left_at < LEAVING_MEMORY_S
        }
        due = [key for key, row in self._rows_by_id.items() if row.drop_at <= now]
        for replica_id in due:
            self._drop(replica_id, "entry_not_renewed")

    def note_misdirected(self, replica: Replica) -> None:
        """Stop using a replica whose address another upstream has taken over."""
        replica_id = replica.replica_id
        if replica_id not in self._rows_by_id:
            return
        self._lost_address_by_id[replica_id] = replica.address
        self._usable_by_service.pop(replica.service, None)
        self._on_removed(replica_id)
        self._log.write(
            "replica.misdirected", replica=replica_id, address=replica.address
        )

    def note_leaving(self, now: float, replica: Replica, request_id: str) -> None:
        """Stop using a replica that announced its end in a reply.

        Args:
            now: Monotonic seconds.
            replica: The replica as it was when the request was sent.
            request_id: The request of that reply, for the log.
        """
        start = _start(replica)
        if start in self._left_at_by_start:
            return
        self._left_at_by_start[start] = now
        self._usable_by_service.pop(replica.service, None)
        row = self._rows_by_id.get(replica.replica_id)
        is_present = row is not None and _start(row.replica) == start
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
        """Return whether this incarnation of a replica announced its end."""
        return _start(replica) in self._left_at_by_start

    def usable(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of a service that may take new work."""
        usable = self._usable_by_service.get(service)
        if usable is None:
            found = (
                row.replica
                for replica_id, row in self._rows_by_id.items()
                if row.replica.service == service
                and not row.replica.is_draining
                and replica_id not in self._lost_address_by_id
                and _start(row.replica) not in self._left_at_by_start
            )
            usable = tuple(sorted(found, key=lambda replica: replica.replica_id))
            self._usable_by_service[service] = usable
        return usable

    def all(self) -> tuple[Replica, ...]:
        """Return every known replica, including those that are leaving."""
        return tuple(row.replica for row in self._rows_by_id.values())

    def _drop(self, replica_id: str, reason: str) -> None:
        row = self._rows_by_id.pop(replica_id)
        self._lost_address_by_id.pop(replica_id, None)
        self._usable_by_service.pop(row.replica.service, None)
        self._on_removed(replica_id)
        self._log.write(
            "replica.gone",
            replica=replica_id,
            service=row.replica.service,
            reason=reason,
        )

    def _forget_service(self, service: str, known: Replica | None) -> None:
        self._usable_by_service.pop(service, None)
        if known is not None and known.service != service:
            self._usable_by_service.pop(known.service, None)


def _start(replica: Replica) -> _Start:
    return _Start(replica.replica_id, replica.address, replica.started_ms)


def _is_new_start(known: Replica, replica: Replica) -> bool:
    has_moved = known.address != replica.address or known.service != replica.service
    return has_moved or known.started_ms != replica.started_ms
