"""Handlers of the watched kinds: the configuration and the searchers' entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.errors import DocumentError, UpstreamError
from almondspool.platform import configuration, entries
from almondspool.platform.watches import KindHandler

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.logs import EventLog
    from almondspool.platform.store import (
        StoredList,
        StoredObject,
        StorePosition,
    )
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.state.routes import Replica, RouteTable


class ConfigurationHandler(KindHandler):
    """Decodes configurations; passes on the route table of each valid, newer one."""

    def __init__(self, on_table: Callable[[RouteTable], None], log: EventLog) -> None:
        """Call ``on_table`` with each valid route table of a higher version."""
        self._on_table = on_table
        self._log = log
        # The valid configuration of the highest version, and that version.
        self._newest: StoredObject | None = None
        self._newest_version = -1

    def complete_list(self, stored_list: StoredList) -> StoredList:
        """Replace a configuration older than the newest one, or a malformed one.

        A store that returned from an older copy has lost the configuration in force
        until the operator writes it again.
        """
        if self._newest is None:
            return stored_list
        others = (
            each for each in stored_list.objects if each.name != configuration.NAME
        )
        return stored_list._replace(objects=(*others, self._newest))

    def is_newer(self, stored_list: StoredList, applied: StorePosition) -> bool:
        """Return whether a list has a higher version, at whatever position.

        An instance completes its list by a configuration that the store has lost.
        """
        return super().is_newer(stored_list, applied) or any(
            configuration.stored_version(each.spec) > self._newest_version
            for each in stored_list.objects
            if each.name == configuration.NAME
        )

    def on_list(self, stored_list: StoredList) -> None:
        """Apply the configuration object; ignore other objects of its kind."""
        self.on_changes(stored_list.objects)

    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Apply newer versions; ignore deleted and malformed configurations."""
        for change in changes:
            self._apply(change)

    def _apply(self, stored_object: StoredObject) -> None:
        if stored_object.name != configuration.NAME or stored_object.is_deleted:
            return
        try:
            table = configuration.decode_configuration(stored_object.spec)
        except DocumentError as error:
            self._log.write(
                "configuration.refused",
                revision=stored_object.revision,
                code=error.code.name,
                reason=error,
            )
            return
        if table.version <= self._newest_version:
            self._log.write(
                "configuration.ignored",
                version=table.version,
                newest=self._newest_version,
                revision=stored_object.revision,
            )
            return
        self._newest, self._newest_version = stored_object, table.version
        self._on_table(table)

    def on_restored(self) -> None:
        """Do nothing: older versions are ignored in any history."""

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """Do nothing: without the store, the configuration in force stays."""


class EntryHandler(KindHandler):
    """Applies the searchers' entries to the registry of replicas."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        clock: Callable[[], float],
        count_malformed_entry: Callable[[], None],
        on_changed: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Prepare to update a registry.

        Args:
            registry: The registry of replicas.
            clock: Returns monotonic seconds.
            count_malformed_entry: Counts a malformed entry.
            on_changed: Called after each update of the registry.
            log: The event log.
        """
        self._registry = registry
        self._clock = clock
        self._count_malformed_entry = count_malformed_entry
        self._on_changed = on_changed
        self._log = log

    def on_list(self, stored_list: StoredList) -> None:
        """Replace all replicas by those in a list of entries."""
        now = self._clock()
        replicas: list[Replica] = []
        malformed_ids: list[str] = []
        for entry in stored_list.objects:
            replica = self._decode(entry)
            if replica is None:
                malformed_ids.append(entry.name)
            else:
                replicas.append(replica)
        self._registry.drop_malformed(now, malformed_ids)
        self._registry.replace_all(now, replicas)
        self._on_changed()

    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Apply changed entries; a malformed one removes its replica."""
        now = self._clock()
        removed_ids: list[str] = []
        malformed_ids: list[str] = []
        for change in {each.name: each for each in changes}.values():
            if change.is_deleted:
                removed_ids.append(change.name)
                continue
            replica = self._decode(change)
            if replica is None:
                malformed_ids.append(change.name)
            else:
                self._registry.put(now, replica)
        self._registry.drop_malformed(now, malformed_ids)
        self._registry.remove_all(now, removed_ids)
        if changes:
            self._on_changed()

    def on_restored(self) -> None:
        """Tell the registry, which keeps replicas without an entry for a time."""
        self._registry.set_store_restored(self._clock())

    def on_reachability_changed(self, is_reachable: bool) -> None:
        """Tell the registry, which distinguishes expired from removed entries by it."""
        self._registry.set_store_reachable(self._clock(), is_reachable)

    def _decode(self, stored_object: StoredObject) -> Replica | None:
        try:
            return entries.decode_entry(stored_object.name, stored_object.spec)
        except UpstreamError as error:
            self._count_malformed_entry()
            self._log.write(
                "entry.refused", revision=stored_object.revision, reason=error
            )
            return None
