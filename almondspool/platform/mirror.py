"""Serves what an instance watches in the store to instances that follow it.

The calls have the store's own form, so that followers use the same client.
"""

from __future__ import annotations

import collections
import urllib.parse
import zlib
from typing import TYPE_CHECKING

from almondspool.platform.store import (
    ANY_AGE_KEY,
    OBJECTS_PATH,
    PACKED_CODING,
    StoredObject,
)
from almondspool.protocol.exchange import (
    ANSWERED_AT_ONCE,
    Answer,
    RequestHandle,
    json_answer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.platform.store import StoredList
    from almondspool.protocol.exchange import CallerRequest
    from almondspool.transport.timers import TimerService

# Changes that a follower may miss before it must read the whole kind again.
HISTORY_CHANGES = 500
MAX_WAIT_S = 5.0
# A configuration of two thousand routes is 1 MB, a tenth of it when packed: eight
# followers of an instance with 20 Mbit/s would wait for three seconds otherwise.
PACK_FROM_BYTES = 16 * 1024
PACK_LEVEL = 1
_UNAVAILABLE = Answer(503)
_HISTORY_GONE = Answer(410)


class _Waiter(RequestHandle):
    """A follower's watch that waits for a change."""

    def __init__(self, revision: int, answer: Callable[[Answer], None]) -> None:
        self.revision = revision
        self.answer = answer
        self.is_over = False

    def abandon(self) -> None:
        self.is_over = True


class KindMirror:
    """The objects of one kind as this instance knows them from the store."""

    def __init__(self, timers: TimerService) -> None:
        """Start without any; followers are refused until a list was read."""
        self._timers = timers
        self._objects_by_name: dict[str, StoredObject] = {}
        self._changes: collections.deque[StoredObject] = collections.deque(
            maxlen=HISTORY_CHANGES
        )
        self._revision = 0
        self._oldest = 0
        self._is_fresh = False
        self._waiters: set[_Waiter] = set()
        # Many followers ask for the same: the last answer, and what it was made of.
        self._last_key: tuple[object, ...] = ()
        self._last_answer = _UNAVAILABLE

    @property
    def revision(self) -> int:
        """Return the revision up to which the kind is known; 0 for none."""
        return self._revision

    def set_fresh(self, is_fresh: bool) -> None:
        """Note whether the store itself is being watched."""
        if self._is_fresh and not is_fresh:
            for waiter in tuple(self._waiters):
                self._end(waiter, _UNAVAILABLE)
        self._is_fresh = is_fresh

    def replace_all(self, listed: StoredList) -> None:
        """Take the whole kind."""
        self._objects_by_name = {each.name: each for each in listed.objects}
        self._changes.clear()
        self._revision = self._oldest = listed.revision
        for waiter in tuple(self._waiters):
            self._end(waiter, _HISTORY_GONE)

    def apply(self, changes: tuple[StoredObject, ...], revision: int) -> None:
        """Take changes in order, and the revision they lead to."""
        for change in changes:
            if len(self._changes) == HISTORY_CHANGES:
                self._oldest = self._changes[0].revision
            self._changes.append(change)
            if change.is_deleted:
                self._objects_by_name.pop(change.name, None)
            else:
                self._objects_by_name[change.name] = change
        self._revision = max(self._revision, revision)
        if changes:
            for waiter in tuple(self._waiters):
                self._end(waiter, self._news(waiter.revision))

    def list(self, is_any_age: bool = False) -> Answer:
        """Answer a follower that reads the whole kind.

        Args:
            is_any_age: Whether it wants what is known here, however old.
        """
        if not self._revision or not (self._is_fresh or is_any_age):
            return _UNAVAILABLE
        return self._made_once(
            ("list", self._revision),
            lambda: {
                "items": [_encode(each) for each in self._objects_by_name.values()],
                "current_rev": self._revision,
            },
        )

    def watch(
        self, revision: int, wait_s: float, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        """Answer a follower once there is a change after a revision."""
        if not self._is_fresh or not self._revision:
            answer(_UNAVAILABLE)
        elif revision < self._oldest:
            answer(_HISTORY_GONE)
        elif any(change.revision > revision for change in self._changes):
            answer(self._news(revision))
        else:
            waiter = _Waiter(revision, answer)
            self._waiters.add(waiter)
            self._timers.call_later(
                min(wait_s, MAX_WAIT_S),
                lambda: self._end(waiter, self._news(revision)),
            )
            return waiter
        return ANSWERED_AT_ONCE

    def _news(self, revision: int) -> Answer:
        # A follower that came from a better informed instance must not go back.
        reached = max(self._revision, revision)
        return self._made_once(
            ("news", revision, reached),
            lambda: {
                "events": [
                    {"object": _encode(change), "tombstone": change.is_deleted}
                    for change in self._changes
                    if change.revision > revision
                ],
                "current_rev": reached,
            },
        )

    def _made_once(
        self, key: tuple[object, ...], make: Callable[[], dict[str, object]]
    ) -> Answer:
        if key != self._last_key:
            self._last_answer = _packed(json_answer(make()))
            self._last_key = key
        return self._last_answer

    def _end(self, waiter: _Waiter, reply: Answer) -> None:
        if waiter in self._waiters:
            self._waiters.discard(waiter)
            if not waiter.is_over:
                waiter.answer(reply)


class MirrorCalls:
    """Answers followers' calls, by kind."""

    def __init__(self, mirrors_by_kind: dict[str, KindMirror]) -> None:
        """Serve the given kinds."""
        self._mirrors_by_kind = mirrors_by_kind

    def handle(
        self, request: CallerRequest, answer: Callable[[Answer], None]
    ) -> RequestHandle:
        """Answer one call."""
        path, _, query = request.target.partition("?")
        mirror = self._mirrors_by_kind.get(path.removeprefix(OBJECTS_PATH))
        if mirror is None or request.method != "GET":
            answer(Answer(404))
            return ANSWERED_AT_ONCE
        values = dict(urllib.parse.parse_qsl(query))
        if "watch" not in values:
            answer(mirror.list(ANY_AGE_KEY in values))
            return ANSWERED_AT_ONCE
        try:
            revision = int(values["watch"])
            wait_s = int(values.get("wait_ms", "0")) / 1000.0
        except ValueError:
            answer(Answer(400))
            return ANSWERED_AT_ONCE
        return mirror.watch(revision, wait_s, answer)


def _packed(answer: Answer) -> Answer:
    """Return an answer as its client reads it too, smaller if it is large."""
    if len(answer.body) < PACK_FROM_BYTES:
        return answer
    headers = (*answer.headers, (b"Content-Encoding", PACKED_CODING))
    return answer._replace(
        headers=headers, body=zlib.compress(answer.body, level=PACK_LEVEL)
    )


def _encode(stored: StoredObject) -> dict[str, object]:
    meta = {"name": stored.name, "revision": stored.revision}
    return {"meta": meta, "spec": stored.spec}
