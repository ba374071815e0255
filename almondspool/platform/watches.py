"""Watch of one kind of the store's objects: a list, then watches, with retries."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

import eventlet

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.platform.store import (
    CALL_TIMEOUT_S,
    NO_POSITION,
    WATCH_TIMEOUT_MARGIN_S,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from almondspool.logs import EventLog
    from almondspool.platform.mirror import KindMirror
    from almondspool.platform.store import (
        ObjectStoreClient,
        StoredList,
        StoredObject,
        StorePosition,
    )

# The maximum wait that the store allows, for a watch that follows an answer at once.
WATCH_WAIT_S = 30.0
# The same for a watch after a pause. The store may never answer a call that it received
# during an outage, on a connection that shows no error. Such a watch has to fail before
# changes must be read in time again after the outage.
WATCH_WAIT_AFTER_PAUSE_S = 2.0
# The platform does not bill watches at another instance, so they can be short: a frozen
# instance must be detected well before a change has to be in force everywhere.
PEER_WATCH_WAIT_S = 1.0
PEER_WATCH_TIMEOUT_MARGIN_S = 0.6
# Pause after a failed call, doubled up to the maximum. The maximum is short because an
# operator's change must be in force three seconds after the store is back.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
JITTER_FRACTION = 0.3
# Number of instances whose lists are compared: of two, one may have lost the store
# earlier and have an older list.
MAX_FALLBACK_ANSWERS = 2
# An instance without any data refuses all callers, so its first reads have a short
# timeout: a read that fails because the store is just coming back is soon repeated.
# Later reads have the full timeout, in case the store stays slow.
INITIAL_READ_ATTEMPTS = 2
INITIAL_READ_TIMEOUT_S = 0.5
# Pause between two watches, so that changes in quick succession are read together.
MIN_WATCH_INTERVAL_S = 0.05


class StaleWatchError(PlatformError):
    """Raised in a watch's green thread when another instance has newer objects."""


class KindHandler(abc.ABC):
    """Handler of the objects and changes of one kind, called by its KindWatch."""

    def complete_list(self, stored_list: StoredList) -> StoredList:
        """Return a list with what the store has lost and this instance still knows.

        Called after on_list(); instances that list the kind from this one get the
        result.
        """
        return stored_list

    def is_newer(self, stored_list: StoredList, applied: StorePosition) -> bool:
        """Return whether another instance's list is newer than what was applied.

        Args:
            stored_list: The list.
            applied: The newest position that was passed to this handler.
        """
        return stored_list.position > applied

    @abc.abstractmethod
    def on_list(self, stored_list: StoredList) -> None:
        """Handle a complete list of the kind's objects."""

    @abc.abstractmethod
    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Handle the changes of one watch, in order."""

    @abc.abstractmethod
    def on_restored(self) -> None:
        """Handle that the store has returned from an older copy.

        Called before the first list of the new history is passed to on_list().
        """

    @abc.abstractmethod
    def on_reachability_changed(self, is_reachable: bool) -> None:
        """Handle a change of whether the store can be reached; initially it can."""


class WatchSource(NamedTuple):
    """The store or instance from which a kind is read.

    Attributes:
        instance: The instance's name; empty for the store itself.
        client: Client of the store or instance.
        wait_s: How long a watch waits for a change, in seconds.
        timeout_margin_s: Time allowed for the answer beyond that, in seconds.
    """

    instance: str
    client: ObjectStoreClient
    wait_s: float = WATCH_WAIT_S
    timeout_margin_s: float = WATCH_TIMEOUT_MARGIN_S


def _no_delay(_waited_s: float) -> float:
    return 0.0


def _min_watch_interval_s() -> float:
    return MIN_WATCH_INTERVAL_S


class KindWatch:
    """Keeps a handler and a mirror up to date with one kind of the store's objects."""

    def __init__(
        self,
        kind: str,
        choose_source: Callable[[int], WatchSource],
        handler: KindHandler,
        mirror: KindMirror,
        now: Callable[[], float],
        rng: random.Random,
        log: EventLog,
        min_interval_s: Callable[[], float] = _min_watch_interval_s,
        fallback_peers: Callable[[], Sequence[ObjectStoreClient]] = tuple,
        first_read_delay_s: Callable[[float], float] = _no_delay,
    ) -> None:
        """Prepare a watch; run() starts to read.

        Args:
            kind: The kind.
            choose_source: Returns the source of the next read, given the number of
                consecutive failures.
            handler: Called with each list and with the changes of each watch.
            mirror: Copy of the kind for instances that follow this one.
            now: Returns monotonic seconds.
            rng: Adds jitter to the retries of many instances.
            log: The event log.
            min_interval_s: Returns the pause between two watches of the store, in
                seconds.
            fallback_peers: Returns clients of the instances to list the kind from if
                the store is unreachable and this instance has no or stale data.
            first_read_delay_s: Returns the remaining delay of the first read, given
                the delay so far, in seconds; 0.0 to read now.
        """
        self._first_read_delay_s = first_read_delay_s
        self._fallback_peers = fallback_peers
        self._kind = kind
        self._choose_source = choose_source
        self._handler = handler
        self._mirror = mirror
        self._now = now
        self._rng = rng
        self._log = log
        self._min_interval_s = min_interval_s
        # Position from which to watch; NO_POSITION if the kind must be listed next.
        self._watch_position = NO_POSITION
        # Newest position passed to the handler; NO_POSITION before the first list.
        self._applied_position = NO_POSITION
        self._failures = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._is_reachable = True
        # Whether another instance is known to have newer objects.
        self._is_stale = False
        # Whether the next read is sent without a pause after an answer of the store.
        self._follows_answer = False

    def run(self) -> None:
        """Follow the kind until the green thread is killed."""
        step = self._wait_for_first_read
        while True:
            try:
                step()
            except StaleWatchError as error:
                # Raised during the wait, or during the pause after a failed read.
                self._schedule_relist(error)
            step = self._read_once

    def _wait_for_first_read(self) -> None:
        waited_s = 0.0
        while (pause_s := self._first_read_delay_s(waited_s)) > 0.0:
            eventlet.sleep(pause_s)
            waited_s += pause_s

    def _read_once(self) -> None:
        """List or watch the kind once, and pause before the next read."""
        try:
            self._read_from(self._choose_source(self._failures))
        except StaleWatchError:
            raise
        except Exception as error:
            # An unexpected object must not end the watch: the kind is listed again.
            self._log.write(
                "store.internal_error",
                kind=self._kind,
                at=self._watch_position.revision,
                code=ResultCode.INTERNAL.name,
                reason=repr(error),
            )
            self._watch_position = NO_POSITION
            eventlet.sleep(MAX_BACKOFF_S)

    def _read_from(self, source: WatchSource) -> None:
        try:
            if self._watch_position.revision:
                self._watch(source)
            else:
                self._list(source)
        except StaleWatchError:
            raise
        except PlatformError as error:
            self._on_failure(source, error)

    def _schedule_relist(self, error: StaleWatchError) -> None:
        """List the kind from an instance that knows more, then from the store.

        The store may be unreachable, or have lost what the other instance knows.
        """
        self._log.write("store.read_again", kind=self._kind, detail=error)
        self._is_stale = True
        self._watch_position = NO_POSITION
        self._list_from_peers()

    def _list(self, source: WatchSource) -> None:
        is_initial = (
            not self._applied_position.revision
            and self._failures < INITIAL_READ_ATTEMPTS
        )
        timeout_s = INITIAL_READ_TIMEOUT_S if is_initial else CALL_TIMEOUT_S
        stored_list = source.client.list(self._kind, timeout_s=timeout_s)
        if stored_list.position < self._applied_position:
            self._log.write(
                "store.list_refused",
                kind=self._kind,
                at=stored_list.revision,
                history=stored_list.history,
                applied=self._applied_position.revision,
                applied_history=self._applied_position.history,
                instance=source.instance,
            )
            raise PlatformError(
                f"list at {stored_list.position} is older than the one in use"
            )
        self._record_success(source)
        self._mirror.replace_all(self._apply_list(stored_list, source.instance))
        self._watch_position = stored_list.position
        self._follows_answer = not source.instance

    def _apply_list(self, stored_list: StoredList, instance: str) -> StoredList:
        """Pass a list of the store or of an instance on, and return it completed."""
        position = stored_list.position
        applied = self._applied_position
        if applied.revision and position.history > applied.history:
            self._log.write(
                "store.restored",
                kind=self._kind,
                at=position.revision,
                history=position.history,
                applied=applied.revision,
                applied_history=applied.history,
                instance=instance,
            )
            self._handler.on_restored()
        self._handler.on_list(stored_list)
        self._applied_position = max(applied, position)
        return self._handler.complete_list(stored_list)

    def _watch(self, source: WatchSource) -> None:
        wait_s, timeout_margin_s = source.wait_s, source.timeout_margin_s
        follows_answer, self._follows_answer = self._follows_answer, False
        if not self._is_reachable:
            # A watch that waits shows nothing until the next change: one that is
            # answered at once shows that the store is back.
            wait_s, timeout_margin_s = 0.0, CALL_TIMEOUT_S
            self._log.write(
                "store.retried",
                kind=self._kind,
                at=self._watch_position.revision,
                instance=source.instance,
                wait_s=wait_s,
                failures=self._failures,
            )
        elif not source.instance and not follows_answer:
            wait_s, timeout_margin_s = WATCH_WAIT_AFTER_PAUSE_S, CALL_TIMEOUT_S
        sent_at = self._now()
        events, revision = source.client.watch(
            self._kind, self._watch_position, wait_s, timeout_margin_s
        )
        self._record_success(source)
        self._mirror.apply(events, revision)
        self._handler.on_changes(events)
        position = self._watch_position
        self._watch_position = self._applied_position = position._replace(
            revision=max(position.revision, revision)
        )
        pause_s = MIN_WATCH_INTERVAL_S if source.instance else self._min_interval_s()
        if not events and self._now() - sent_at >= pause_s:
            self._follows_answer = not source.instance
            return
        # The pause also limits the call rate if every watch is answered at once.
        eventlet.sleep(pause_s)

    def _on_failure(self, source: WatchSource, error: PlatformError) -> None:
        if error.code is ResultCode.PLATFORM_HISTORY_GONE:
            self._log.write(
                "store.history_gone",
                kind=self._kind,
                at=self._watch_position.revision,
                history=self._watch_position.history,
                detail=error,
            )
            self._watch_position = NO_POSITION
            eventlet.sleep(MIN_WATCH_INTERVAL_S)
            return
        self._failures += 1
        if source.instance:
            # No backoff: the next read goes to another instance or to the store.
            self._log.write(
                "store.relay_failed",
                kind=self._kind,
                instance=source.instance,
                detail=error,
            )
            eventlet.sleep(MIN_WATCH_INTERVAL_S)
            return
        self._mirror.set_fresh(False)
        self._set_reachable(False, str(error))
        if not self._applied_position.revision or self._is_stale:
            self._list_from_peers()
        pause_s = max(self._backoff_s, error.retry_after_s)
        eventlet.sleep(
            pause_s * self._rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)
        )
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2.0)

    def _list_from_peers(self) -> None:
        """List the kind from other instances.

        The first list is applied at once. A newer one from another instance replaces
        it, as the first instance may have lost the store earlier.
        """
        answer_count = 0
        for peer in self._fallback_peers():
            if answer_count == MAX_FALLBACK_ANSWERS:
                return
            try:
                stored_list = peer.list_from_peer(self._kind)
            except PlatformError as error:
                self._log.write("store.borrow_failed", kind=self._kind, detail=error)
                continue
            answer_count += 1
            if not self._handler.is_newer(stored_list, self._applied_position):
                continue
            self._is_stale = False
            self._apply_list(stored_list, "")
            self._log.write("store.borrowed", kind=self._kind, at=stored_list.revision)

    def _record_success(self, source: WatchSource) -> None:
        self._failures = 0
        self._is_stale = False
        self._backoff_s = INITIAL_BACKOFF_S
        self._mirror.set_fresh(not source.instance)
        self._set_reachable(True, "")

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        event = "store.regained" if is_reachable else "store.lost"
        self._log.write(
            event,
            kind=self._kind,
            at=self._watch_position.revision,
            history=self._watch_position.history,
            detail=detail,
        )
        self._handler.on_reachability_changed(is_reachable)
