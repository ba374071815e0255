"""Follows one kind of the store: a list, then watches, and again after a failure."""

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

# The longest that the store allows: a waiting watch is one call, and probes of its
# connection find one that went silent; a shorter wait only costs calls.
WATCH_WAIT_S = 30.0
# A watch at another instance costs nothing, and a frozen one must be found out well
# before a change is due everywhere.
RELAY_WAIT_S = 1.0
RELAY_TIMEOUT_MARGIN_S = 0.6
# Pause after a failed call, doubled up to the longest; an operator's change must be
# in force three seconds after the store is back.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
JITTER = 0.3
# Instances whose answers are compared: one of two may have been cut off for longer.
LENDERS_HEARD = 2
# A process that knows nothing refuses every caller: a call that met a store which is
# just coming back is soon made anew. A store that is slow for long gets its full time.
URGENT_READS = 2
URGENT_TIMEOUT_S = 0.5
# Changes that come in quick succession are fetched together.
MIN_GAP_S = 0.05


class BehindError(PlatformError):
    """Thrown into a watch when a member knows a newer state of its kind."""


class KindFollower(abc.ABC):
    """Takes what a watch reports."""

    @abc.abstractmethod
    def on_list(self, listed: StoredList) -> None:
        """Take every object of the kind."""

    @abc.abstractmethod
    def on_changes(self, changes: Sequence[StoredObject]) -> None:
        """Take the changes of one watch, in their order."""

    @abc.abstractmethod
    def on_reachable(self, is_reachable: bool) -> None:
        """Take that the store was lost or regained."""


class Source(NamedTuple):
    """Where a kind is read from.

    Attributes:
        name: The instance that is followed; empty for the store itself.
        client: Its client.
        wait_s: How long a watch waits, in seconds.
        slack_s: How much later its answer may come, in seconds.
    """

    name: str
    client: ObjectStoreClient
    wait_s: float = WATCH_WAIT_S
    timeout_margin_s: float = WATCH_TIMEOUT_MARGIN_S


def _read_at_once(_waited_s: float) -> float:
    return 0.0


class KindWatch:
    """One green thread that follows a kind."""

    def __init__(
        self,
        kind: str,
        choose_source: Callable[[int], Source],
        follower: KindFollower,
        mirror: KindMirror,
        rng: random.Random,
        log: EventLog,
        gap_s: float = MIN_GAP_S,
        lenders: Callable[[], Sequence[ObjectStoreClient]] = tuple,
        first_read_delay_s: Callable[[float], float] = _read_at_once,
    ) -> None:
        """Prepare to follow; run() does.

        Args:
            kind: The kind.
            choose_source: Returns whom to ask after so many failures in a row.
            follower: Takes what changes.
            mirror: Keeps the kind for instances that follow this one.
            rng: Spreads the retries of many instances.
            log: The event log.
            gap_s: Least time between two watches of the store, in seconds.
            lenders: Returns other instances, for one that starts while the store is
                away.
            first_read_delay_s: Takes for how long the first read was put off and
                returns for how much longer to do so, in seconds; 0.0 to read now.
        """
        self._first_read_delay_s = first_read_delay_s
        self._lenders = lenders
        self._kind = kind
        self._choose_source = choose_source
        self._follower = follower
        self._mirror = mirror
        self._rng = rng
        self._log = log
        self._gap_s = gap_s
        self._revision = 0
        self._known_revision = 0
        self._failures = 0
        self._backoff_s = FIRST_BACKOFF_S
        self._is_reachable = True
        self._is_behind = False

    def run(self) -> None:
        """Follow the kind until the green thread is killed."""
        waited_s = 0.0
        while (pause_s := self._first_read_delay_s(waited_s)) > 0.0:
            eventlet.sleep(pause_s)
            waited_s += pause_s
        while True:
            try:
                self._read_once()
            except BehindError as error:
                # It paused after a failure.
                self._read_again(error)

    def _read_once(self) -> None:
        source = self._choose_source(self._failures)
        try:
            if self._revision:
                self._watch(source)
            else:
                self._list(source)
        except BehindError as error:
            self._read_again(error)
        except PlatformError as error:
            self._on_failure(source, error)
        except Exception as error:
            # One object that nobody thought of must not end the watch; the whole
            # kind is read again.
            self._log.write(
                "store.internal_error",
                kind=self._kind,
                at=self._revision,
                code=ResultCode.INTERNAL.name,
                reason=repr(error),
            )
            self._revision = 0
            eventlet.sleep(MAX_BACKOFF_S)

    def _read_again(self, error: BehindError) -> None:
        """Read a whole list, as a watch may wait for long; ask others if it fails."""
        self._log.write("store.read_again", kind=self._kind, detail=error)
        self._is_behind = True
        self._revision = 0

    def _list(self, source: Source) -> None:
        is_urgent = not self._known_revision and self._failures < URGENT_READS
        timeout_s = URGENT_TIMEOUT_S if is_urgent else CALL_TIMEOUT_S
        listed = source.client.list(self._kind, timeout_s=timeout_s)
        if listed.revision < self._known_revision:
            raise PlatformError(f"list of {listed.revision} is older than known")
        self._note_success(source)
        self._mirror.replace_all(listed)
        self._follower.on_list(listed)
        self._revision = self._known_revision = listed.revision

    def _watch(self, source: Source) -> None:
        events, revision = source.client.watch(
            self._kind, self._revision, source.wait_s, source.timeout_margin_s
        )
        self._note_success(source)
        self._mirror.apply(events, revision)
        self._follower.on_changes(events)
        self._revision = self._known_revision = max(self._revision, revision)
        # Also bounds the calls where every watch is answered at once.
        eventlet.sleep(MIN_GAP_S if source.name else self._gap_s)

    def _on_failure(self, source: Source, error: PlatformError) -> None:
        if error.code is ResultCode.PLATFORM_HISTORY_GONE:
            self._log.write("store.history_gone", kind=self._kind, at=self._revision)
            self._revision = 0
            eventlet.sleep(MIN_GAP_S)
            return
        self._failures += 1
        if source.name:
            # Another instance or the store itself is asked next, at once.
            self._log.write(
                "store.relay_failed",
                kind=self._kind,
                instance=source.name,
                detail=error,
            )
            eventlet.sleep(MIN_GAP_S)
            return
        self._mirror.set_fresh(False)
        self._note_reachable(False, str(error))
        if not self._known_revision or self._is_behind:
            self._borrow()
        pause_s = max(self._backoff_s, error.retry_after_s)
        eventlet.sleep(pause_s * self._rng.uniform(1 - JITTER, 1 + JITTER))
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2.0)

    def _borrow(self) -> None:
        """Take what other instances know, until the store is back.

        The first answer serves at once; a newer one of another instance replaces it,
        as the first may have been cut off from the store for longer.
        """
        answers = 0
        for lender in self._lenders():
            if answers == LENDERS_HEARD:
                return
            try:
                listed = lender.borrow(self._kind)
            except PlatformError as error:
                self._log.write("store.borrow_failed", kind=self._kind, detail=error)
                continue
            answers += 1
            if listed.revision <= self._known_revision:
                continue
            self._known_revision = listed.revision
            self._is_behind = False
            self._follower.on_list(listed)
            self._log.write("store.borrowed", kind=self._kind, at=listed.revision)

    def _note_success(self, source: Source) -> None:
        self._failures = 0
        self._is_behind = False
        self._backoff_s = FIRST_BACKOFF_S
        self._mirror.set_fresh(not source.name)
        self._note_reachable(True, "")

    def _note_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        event = "store.regained" if is_reachable else "store.lost"
        self._log.write(event, kind=self._kind, at=self._revision, detail=detail)
        self._follower.on_reachable(is_reachable)
