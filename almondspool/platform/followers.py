"""What the store's kinds mean to an instance: its configuration and its upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.errors import DocumentError, UpstreamError
from almondspool.platform import configuration, entries
from almondspool.platform.watches import KindFollower

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from almondspool.logs import EventLog
    from almondspool.platform.store import StoredList, StoredObject
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.state.routes import Replica, RouteTable


class ConfigurationFollower(KindFollower):
    """Passes each configuration on that can be used."""

    def __init__(self, on_table: Callable[[RouteTable], None], log: EventLog) -> None:
        """Pass route tables to ``on_table``."""
        self._on_table = on_table
        self._log = log

    def on_list(self, listed: StoredList) -> None:
        """Take the configuration among the objects of its kind."""
        self.on_changes(listed.objects)

    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Take configurations; a removed or malformed one changes nothing."""
        for changed in changes:
            self._take(changed)

    def _take(self, changed: StoredObject) -> None:
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
        """Keep the configuration in force, whatever the store does."""


class EntryFollower(KindFollower):
    """Keeps the registry of replicas up to date."""

    def __init__(
        self,
        registry: ReplicaRegistry,
        clock: Callable[[], float],
        count_bad: Callable[[], None],
        on_changed: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Write to a registry.

        Args:
            registry: The registry.
            clock: Returns monotonic seconds.
            count_bad: Counts an entry that describes no searcher.
            on_changed: Called after changes were written.
            log: The event log.
        """
        self._registry = registry
        self._clock = clock
        self._count_bad = count_bad
        self._on_changed = on_changed
        self._log = log

    def on_list(self, listed: StoredList) -> None:
        """Take every entry."""
        decoded = (self._decode(stored) for stored in listed.objects)
        replicas = [replica for replica in decoded if replica is not None]
        self._registry.replace_all(self._clock(), replicas)
        self._on_changed()

    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Take entries; one that describes no searcher names none to use."""
        now = self._clock()
        removed: list[str] = []
        for changed in {each.name: each for each in changes}.values():
            replica = None if changed.is_deleted else self._decode(changed)
            if replica is None:
                removed.append(changed.name)
            else:
                self._registry.put(now, replica)
        self._registry.remove_all(now, removed)
        if changes:
            self._on_changed()

    def on_reachable(self, is_reachable: bool) -> None:
        """Tell the registry, which tells lapsed entries from removed ones."""
        self._registry.note_store(self._clock(), is_reachable)

    def _decode(self, stored: StoredObject) -> Replica | None:
        try:
            return entries.decode_entry(stored.name, stored.spec)
        except UpstreamError as error:
            self._count_bad()
            self._log.write("entry.refused", revision=stored.revision, reason=error)
            return None
