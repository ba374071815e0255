"""Handlers of watched kinds: the configuration and the searchers' entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.errors import DocumentError, UpstreamError
from almondspool.platform import configuration, entries
from almondspool.platform.watches import KindHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.logs import EventLog
    from almondspool.platform.store import StoredList, StoredObject
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.state.routes import Replica, RouteTable


class ConfigurationHandler(KindHandler):
    """Decodes each valid configuration and passes its route table on."""

    def __init__(self, on_table: Callable[[RouteTable], None], log: EventLog) -> None:
        """Pass route tables to ``on_table``."""
        self._on_table = on_table
        self._log = log

    def on_list(self, listed: StoredList) -> None:
        """Apply the configuration among the objects of its kind."""
        self.on_changes(listed.objects)

    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Apply changed configurations; ignore deleted and malformed ones."""
        for changed in changes:
            self._apply(changed)

    def _apply(self, changed: StoredObject) -> None:
        if changed.name != configuration.NAME or changed.is_deleted:
            return
        try:
            table = configuration.decode_configuration(changed.spec)
        except DocumentError as error:
            self._log.write(
                "configuration.refused",
                revision=changed.revision,
                code=error.code.name,
                reason=error,
            )
            return
        self._on_table(table)

    def on_reachable(self, is_reachable: bool) -> None:
        """Do nothing: the configuration in force stays while the store is away."""


class EntryHandler(KindHandler):
    """Applies the searchers' entries to the registry of replicas."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        clock: Callable[[], float],
        count_malformed: Callable[[], None],
        on_changed: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Update the given registry.

        Args:
            registry: The registry of replicas.
            clock: Returns monotonic seconds.
            count_malformed: Counts a malformed entry.
            on_changed: Called after the registry was updated.
            log: The event log.
        """
        self._registry = registry
        self._clock = clock
        self._count_malformed = count_malformed
        self._on_changed = on_changed
        self._log = log

    def on_list(self, listed: StoredList) -> None:
        """Replace all replicas by those of a list."""
        decoded = (self._decode(stored) for stored in listed.objects)
        replicas = [replica for replica in decoded if replica is not None]
        self._registry.replace_all(self._clock(), replicas)
        self._on_changed()

    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Apply changed entries; a malformed one removes its replica."""
        now = self._clock()
        removed_ids: list[str] = []
        for changed in {change.name: change for change in changes}.values():
            replica = None if changed.is_deleted else self._decode(changed)
            if replica is None:
                removed_ids.append(changed.name)
            else:
                self._registry.put(now, replica)
        self._registry.remove_all(now, removed_ids)
        if changes:
            self._on_changed()

    def on_reachable(self, is_reachable: bool) -> None:
        """Tell the registry, which distinguishes lapsed from removed entries by it."""
        self._registry.set_store_reachable(self._clock(), is_reachable)

    def _decode(self, stored: StoredObject) -> Replica | None:
        try:
            return entries.decode_entry(stored.name, stored.spec)
        except UpstreamError as error:
            self._count_malformed()
            self._log.write("entry.refused", revision=stored.revision, reason=error)
            return None
