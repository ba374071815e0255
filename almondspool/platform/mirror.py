"""Mirror of watched kinds, served to the instances that follow this one.

Calls and answers have the format of the store, so that followers use the same client.
"""

from __future__ import annotations

import collections
import urllib.parse
import zlib
from typing import TYPE_CHECKING

import msgspec

from almondspool.platform.store import (
    ANY_AGE_KEY,
    COMPRESSED_CODING,
    HISTORY_HEADER,
    NO_POSITION,
    OBJECTS_PATH,
    StoredObject,
    StorePosition,
)
from almondspool.protocol.exchange import (
    COMPLETED_REQUEST,
    Answer,
    RequestHandle,
    json_answer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.platform.store import StoredList
    from almondspool.protocol.exchange import CallerRequest
    from almondspool.transport.timers import TimerService

# Number of changes by which a follower may lag before it must list the kind again.
MAX_HISTORY_CHANGES = 500
# Limit on the time that a watch waits for a change, whatever the follower asks for.
MAX_WATCH_WAIT_S = 5.0
# Smaller answers are not compressed. A configuration of two thousand routes has 1 MB,
# or a tenth of that compressed: without compression, eight followers of an instance
# with 20 Mbit/s would wait three seconds.
MIN_COMPRESSED_BODY_BYTES = 16 * 1024
ZLIB_COMPRESSION_LEVEL = 1
_UNAVAILABLE = Answer(503)
_HISTORY_GONE = Answer(410)


class _PendingWatch(RequestHandle):
    """A follower's watch that waits for a change."""

    def __init__(self, revision: int, answer: Callable[[Answer], None]) -> None:
        self.revision = revision
        self.answer = answer
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class KindMirror:
    """Copy of one kind's objects with a bounded history of changes."""

    def __init__(self, timers: TimerService) -> None:
        """Start empty; followers are refused until replace_all() and set_fresh()."""
        self._timers = timers
        self._objects_by_name: dict[str, StoredObject] = {}
        self._changes: collections.deque[StoredObject] = collections.deque(
            maxlen=MAX_HISTORY_CHANGES
        )
        self._position = NO_POSITION
        # Oldest revision from which the history of changes is complete.
        self._oldest_revision = 0
        self._is_fresh = False
        self._pending_watches: set[_PendingWatch] = set()
        # The last answer and its key, cached as many followers ask for the same.
        self._last_answer_key: tuple[object, ...] = ()
        self._last_answer = _UNAVAILABLE

    @property
    def position(self) -> StorePosition:
        """Return the position of the copy; NO_POSITION before the first list."""
        return self._position

    def set_fresh(self, is_fresh: bool) -> None:
        """Set whether the copy is read from the store itself and may be served.

        Pending watches are refused when it no longer is.
        """
        if self._is_fresh and not is_fresh:
            for pending_watch in tuple(self._pending_watches):
                self._finish(pending_watch, _UNAVAILABLE)
        self._is_fresh = is_fresh

    def replace_all(self, stored_list: StoredList) -> None:
        """Replace all objects; pending watches are told that the history is lost."""
        self._objects_by_name = {each.name: each for each in stored_list.objects}
        self._changes.clear()
        self._position = stored_list.position
        self._oldest_revision = stored_list.revision
        for pending_watch in tuple(self._pending_watches):
            self._finish(pending_watch, _HISTORY_GONE)

    def apply(self, changes: tuple[StoredObject, ...], revision: int) -> None:
        """Apply changes in order, set the new revision and answer pending watches."""
        for change in changes:
            if len(self._changes) == MAX_HISTORY_CHANGES:
                self._oldest_revision = self._changes[0].revision
            self._changes.append(change)
            if change.is_deleted:
                self._objects_by_name.pop(change.name, None)
            else:
                self._objects_by_name[change.name] = change
        self._position = self._position._replace(
            revision=max(self._position.revision, revision)
        )
        if changes:
            for pending_watch in tuple(self._pending_watches):
                self._finish(pending_watch, self._changes_after(pending_watch.revision))

    def list(self, is_stale_allowed: bool = False) -> Answer:
        """Return the answer to a follower that lists all objects of the kind.

        Args:
            is_stale_allowed: Whether the follower accepts a copy of any age.
        """
        if not self._position.revision or not (self._is_fresh or is_stale_allowed):
            return _UNAVAILABLE
        return self._cached_answer(
            ("list", self._position),
            lambda: {
                "items": [_encode(each) for each in self._objects_by_name.values()],
                "current_rev": self._position.revision,
            },
        )

    def watch(
        self, revision: int, wait_s: float, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        """Answer a follower once there is a change after a revision, or after a wait.

        Args:
            revision: The revision up to which the follower knows the kind.
            wait_s: How long to wait for a change, in seconds; limited by
                MAX_WATCH_WAIT_S.
            answer: Called with the answer, at once if the watch need not wait.

        Returns:
            A handle to cancel the watch.
        """
        if not self._is_fresh or not self._position.revision:
            answer(_UNAVAILABLE)
        elif revision < self._oldest_revision:
            answer(_HISTORY_GONE)
        elif any(change.revision > revision for change in self._changes):
            answer(self._changes_after(revision))
        else:
            pending_watch = _PendingWatch(revision, answer)
            self._pending_watches.add(pending_watch)
            self._timers.call_later(
                min(wait_s, MAX_WATCH_WAIT_S),
                lambda: self._finish(pending_watch, self._changes_after(revision)),
            )
            return pending_watch
        return COMPLETED_REQUEST

    def _changes_after(self, revision: int) -> Answer:
        # The follower may have followed a more recent mirror before: its revision must
        # not decrease.
        current_revision = max(self._position.revision, revision)
        return self._cached_answer(
            ("news", revision, self._position.history, current_revision),
            lambda: {
                "events": [
                    {"object": _encode(change), "tombstone": change.is_deleted}
                    for change in self._changes
                    if change.revision > revision
                ],
                "current_rev": current_revision,
            },
        )

    def _cached_answer(
        self, key: tuple[object, ...], make: Callable[[], dict[str, object]]
    ) -> Answer:
        if key != self._last_answer_key:
            answer = _compress_if_large(json_answer(make()))
            history = str(self._position.history).encode()
            self._last_answer = answer._replace(
                headers=(*answer.headers, (HISTORY_HEADER, history))
            )
            self._last_answer_key = key
        return self._last_answer

    def _finish(self, pending_watch: _PendingWatch, reply: Answer) -> None:
        if pending_watch in self._pending_watches:
            self._pending_watches.discard(pending_watch)
            if not pending_watch.is_cancelled:
                pending_watch.answer(reply)


class MirrorEndpoints:
    """Answers followers' list and watch calls, each from the mirror of its kind."""

    def __init__(self, mirrors_by_kind: dict[str, KindMirror]) -> None:
        """Serve the given mirrors."""
        self._mirrors_by_kind = mirrors_by_kind

    def handle(
        self, request: CallerRequest, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        """Answer one call; the path names the kind."""
        path, _, query = request.target.partition("?")
        mirror = self._mirrors_by_kind.get(path.removeprefix(OBJECTS_PATH))
        if mirror is None or request.method != "GET":
            answer(Answer(404))
            return COMPLETED_REQUEST
        values = dict(urllib.parse.parse_qsl(query))
        if "watch" not in values:
            answer(mirror.list(ANY_AGE_KEY in values))
            return COMPLETED_REQUEST
        try:
            revision = int(values["watch"])
            wait_s = int(values.get("wait_ms", "0")) / 1000.0
        except ValueError:
            answer(Answer(400))
            return COMPLETED_REQUEST
        return mirror.watch(revision, wait_s, answer)


def _compress_if_large(answer: Answer) -> Answer:
    """Return the answer with its body compressed if it is large, else unchanged."""
    if len(answer.body) < MIN_COMPRESSED_BODY_BYTES:
        return answer
    headers = (*answer.headers, (b"Content-Encoding", COMPRESSED_CODING))
    return answer._replace(
        headers=headers, body=zlib.compress(answer.body, level=ZLIB_COMPRESSION_LEVEL)
    )


def _encode(stored_object: StoredObject) -> dict[str, object]:
    meta = {"name": stored_object.name, "revision": stored_object.revision}
    try:
        spec = msgspec.Raw(msgspec.json.encode(stored_object.spec))
    except RecursionError:
        # The object was decoded where the call stack was less deep.
        spec = None
    return {"meta": meta, "spec": spec}
