"""Watch of one kind of the store: a list, then watches, with retries on failure."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

import eventlet

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.platform.store import CALL_TIMEOUT_S, WATCH_TIMEOUT_MARGIN_S

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from almondspool.logs import EventLog
    from almondspool.platform.mirror import KindMirror
    from almondspool.platform.store import ObjectStoreClient, StoredList, StoredObject

# The maximum that the store allows: a shorter wait only costs more calls, as keepalive
# probes detect a silent connection.
WATCH_WAIT_S = 30.0
# A watch at another instance is free of charge, and a frozen instance must be detected
# well before a change has to be in force everywhere.
PEER_WATCH_WAIT_S = 1.0
PEER_WATCH_TIMEOUT_MARGIN_S = 0.6
# Pause after a failed call, doubled up to the maximum; an operator's change must be in
# force three seconds after the store is back.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
JITTER_FRACTION = 0.3
# Number of peers' lists to compare: one of two may have lost the store earlier.
MAX_FALLBACK_ANSWERS = 2
# An instance without any data refuses all callers, so its first reads have a short
# timeout: a read sent to a store that is just coming back is soon repeated. A store
# that stays slow gets the full timeout.
INITIAL_READ_ATTEMPTS = 2
INITIAL_READ_TIMEOUT_S = 0.5
# Changes in quick succession are fetched together.
MIN_WATCH_INTERVAL_S = 0.05


class StaleWatchError(PlatformError):
    """Raised in a watch when another instance has a newer state of its kind."""


class KindHandler(abc.ABC):
    """Handler of the objects and changes that a watch reports."""

    @abc.abstractmethod
    def on_list(self, listed: StoredList) -> None:
        """Handle a complete list of the kind's objects."""

    @abc.abstractmethod
    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Handle the changes of one watch, in order."""

    @abc.abstractmethod
    def on_reachable(self, is_reachable: bool) -> None:
        """Handle the loss or the return of the store."""


class WatchSource(NamedTuple):
    """The store or instance from which a kind is read.

    Attributes:
        name: The instance's name; empty for the store itself.
        client: Client of the store or instance.
        wait_s: How long a watch waits for a change, in seconds.
        timeout_margin_s: Time allowed for the answer beyond that, in seconds.
    """

    name: str
    client: ObjectStoreClient
    wait_s: float = WATCH_WAIT_S
    timeout_margin_s: float = WATCH_TIMEOUT_MARGIN_S


def _no_delay(_waited_s: float) -> float:
    return 0.0


class KindWatch:
    """Follows one kind in a green thread."""

    def __init__(
        self,
        kind: str,
        choose_source: Callable[[int], WatchSource],
        handler: KindHandler,
        mirror: KindMirror,
        rng: random.Random,
        log: EventLog,
        min_interval_s: float = MIN_WATCH_INTERVAL_S,
        fallback_peers: Callable[[], Sequence[ObjectStoreClient]] = tuple,
        first_read_delay_s: Callable[[float], float] = _no_delay,
    ) -> None:
        """Prepare a watch; run() begins to follow.

        Args:
            kind: The kind.
            choose_source: Returns the source to read after a number of consecutive
                failures.
            handler: Handles lists and changes.
            mirror: Copy of the kind for instances that follow this one.
            rng: Adds jitter to the retries of many instances.
            log: The event log.
            min_interval_s: Minimum time between two watches of the store, in seconds.
            fallback_peers: Returns the instances to list the kind from if the store is
                unreachable and this instance has no or stale data.
            first_read_delay_s: Returns the remaining delay of the first read, given
                the delay so far, in seconds; 0.0 to read now.
        """
        self._first_read_delay_s = first_read_delay_s
        self._fallback_peers = fallback_peers
        self._kind = kind
        self._choose_source = choose_source
        self._handler = handler
        self._mirror = mirror
        self._rng = rng
        self._log = log
        self._min_interval_s = min_interval_s
        self._revision = 0
        self._known_revision = 0
        self._failures = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._is_reachable = True
        self._is_stale = False

    def run(self) -> None:
        """Follow the kind until the green thread is killed."""
        waited_s = 0.0
        while (pause_s := self._first_read_delay_s(waited_s)) > 0.0:
            eventlet.sleep(pause_s)
            waited_s += pause_s
        while True:
            try:
                self._read_once()
            except StaleWatchError as error:
                # Raised while the watch paused after a failure.
                self._schedule_relist(error)

    def _read_once(self) -> None:
        source = self._choose_source(self._failures)
        try:
            if self._revision:
                self._watch(source)
            else:
                self._list(source)
        except StaleWatchError as error:
            self._schedule_relist(error)
        except PlatformError as error:
            self._on_failure(source, error)
        except Exception as error:
            # An unexpected object must not end the watch: the kind is listed again.
            self._log.write(
                "store.internal_error",
                kind=self._kind,
                at=self._revision,
                code=ResultCode.INTERNAL.name,
                reason=repr(error),
            )
            self._revision = 0
            eventlet.sleep(MAX_BACKOFF_S)

    def _schedule_relist(self, error: StaleWatchError) -> None:
        """List the kind next, as a watch may wait long; use peers if that fails."""
        self._log.write("store.read_again", kind=self._kind, detail=error)
        self._is_stale = True
        self._revision = 0

    def _list(self, source: WatchSource) -> None:
        is_initial = not self._known_revision and self._failures < INITIAL_READ_ATTEMPTS
        timeout_s = INITIAL_READ_TIMEOUT_S if is_initial else CALL_TIMEOUT_S
        listed = source.client.list(self._kind, timeout_s=timeout_s)
        if listed.revision < self._known_revision:
            raise PlatformError(
                f"list at revision {listed.revision} is older than the known one"
            )
        self._record_success(source)
        self._mirror.replace_all(listed)
        self._handler.on_list(listed)
        self._revision = self._known_revision = listed.revision

    def _watch(self, source: WatchSource) -> None:
        events, revision = source.client.watch(
            self._kind, self._revision, source.wait_s, source.timeout_margin_s
        )
        self._record_success(source)
        self._mirror.apply(events, revision)
        self._handler.on_changes(events)
        self._revision = self._known_revision = max(self._revision, revision)
        # This also limits the call rate if every watch is answered at once.
        eventlet.sleep(MIN_WATCH_INTERVAL_S if source.name else self._min_interval_s)

    def _on_failure(self, source: WatchSource, error: PlatformError) -> None:
        if error.code is ResultCode.PLATFORM_HISTORY_GONE:
            self._log.write("store.history_gone", kind=self._kind, at=self._revision)
            self._revision = 0
            eventlet.sleep(MIN_WATCH_INTERVAL_S)
            return
        self._failures += 1
        if source.name:
            # The next read, without backoff, goes to another instance or the store.
            self._log.write(
                "store.relay_failed",
                kind=self._kind,
                instance=source.name,
                detail=error,
            )
            eventlet.sleep(MIN_WATCH_INTERVAL_S)
            return
        self._mirror.set_fresh(False)
        self._set_reachable(False, str(error))
        if not self._known_revision or self._is_stale:
            self._list_from_peers()
        pause_s = max(self._backoff_s, error.retry_after_s)
        eventlet.sleep(
            pause_s * self._rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        )
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2.0)

    def _list_from_peers(self) -> None:
        """Apply other instances' lists until the store is back.

        The first list is applied at once; a newer one from another instance replaces
        it, as the first instance may have lost the store earlier.
        """
        answer_count = 0
        for peer in self._fallback_peers():
            if answer_count == MAX_FALLBACK_ANSWERS:
                return
            try:
                listed = peer.list_from_peer(self._kind)
            except PlatformError as error:
                self._log.write("store.borrow_failed", kind=self._kind, detail=error)
                continue
            answer_count += 1
            if listed.revision <= self._known_revision:
                continue
            self._known_revision = listed.revision
            self._is_stale = False
            self._handler.on_list(listed)
            self._log.write("store.borrowed", kind=self._kind, at=listed.revision)

    def _record_success(self, source: WatchSource) -> None:
        self._failures = 0
        self._is_stale = False
        self._backoff_s = INITIAL_BACKOFF_S
        self._mirror.set_fresh(not source.name)
        self._set_reachable(True, "")

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        event = "store.regained" if is_reachable else "store.lost"
        self._log.write(event, kind=self._kind, at=self._revision, detail=detail)
        self._handler.on_reachable(is_reachable)
