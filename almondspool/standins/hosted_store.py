"""Stand-in for the users' platform store: objects, conditional writes and watches.

Run ``python -m almondspool.standins.hosted_store ADDRESS``. Requests to ``/control``
set faults, as a JSON object with any of these keys:

* ``mode``: ``silent`` leaves calls and watches unanswered, ``busy`` replies 503; any
  other mode, such as ``up`` or ``reset``, serves them.
* ``forget_history``: Discards the history of changes, so that watches get 410.
* ``lapse``: Removes every object of the kind that it names.
* ``copy``: Copies all objects and their history of changes.
* ``restore``: Returns to the last copy, as a new history, and ends all watches.
"""

from __future__ import annotations

import collections
import sys
import urllib.parse
from typing import TYPE_CHECKING, Any, NamedTuple

import eventlet
import msgspec

from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.protocol.exchange import (
    COMPLETED_REQUEST,
    Answer,
    RequestHandle,
    json_answer,
)
from almondspool.state.routes import CallerLimits
from almondspool.transport.caller_server import CallerServer
from almondspool.transport.hub_timers import HubTimers

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import CallerRequest

OBJECTS_PREFIX = "/api/objects/"
HISTORY_HEADER = b"Store-Era"
CONTROL_PATH = "/control"
MAX_PAGE_OBJECTS = 50
MAX_HISTORY_CHANGES = 2000
MAX_WATCH_WAIT_S = 30.0
# 64 KiB of headers in 30 s, 4 MB of body, 120 s of idle time.
_CALLER_LIMITS = CallerLimits(65_536, 4_000_000, 30.0, 120.0)


class _Change(NamedTuple):
    """A change of an object: its new value, or the last one of a removed object."""

    revision: int
    kind: str
    stored_object: dict
    is_removal: bool


class _PendingWatch(RequestHandle):
    """A watch that waits for a change of its kind, or a call that gets no answer."""

    def __init__(self, kind: str, revision: int, answer: Callable) -> None:
        self.kind = kind
        self.revision = revision
        self.answer = answer
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class _Copy(NamedTuple):
    """Contents of the store at one moment."""

    objects_by_key: dict[tuple[str, str], dict]
    revision: int
    changes: tuple[_Change, ...]


class HostedStore:
    """The objects, their change history and the active faults."""

    def __init__(self, timers: HubTimers) -> None:
        """Start without objects, and serve calls."""
        self._timers = timers
        self._objects_by_key: dict[tuple[str, str], dict] = {}
        self._revision = 1
        self._history: collections.deque[_Change] = collections.deque()
        self._pending_watches: list[_PendingWatch] = []
        self._mode = "up"
        self._history_number = 1
        self._copy = _Copy({}, self._revision, ())

    def handle(self, request: CallerRequest, answer: Callable) -> RequestHandle:
        """Answer a call of the object API, or apply a command to ``/control``."""

        def answer_with_history(reply: Answer) -> None:
            number = str(self._history_number).encode()
            headers = (*reply.headers, (HISTORY_HEADER, number))
            answer(reply._replace(headers=headers))

        return self._handle(request, answer_with_history)

    def _handle(self, request: CallerRequest, answer: Callable) -> RequestHandle:
        path, _, query = request.target.partition("?")
        if path == CONTROL_PATH:
            answer(self._apply_command(msgspec.json.decode(request.body)))
            return COMPLETED_REQUEST
        if self._mode == "silent":
            return _PendingWatch("", 0, answer)
        if self._mode == "busy":
            answer(json_answer({}, 503))
            return COMPLETED_REQUEST
        path_parts = [
            urllib.parse.unquote(part)
            for part in path[len(OBJECTS_PREFIX) :].split("/")
        ]
        values = dict(urllib.parse.parse_qsl(query))
        if request.method == "GET" and "watch" in values:
            return self._watch(path_parts[0], values, answer)
        answer(self._run_call(request.method, path_parts, values, request.body))
        return COMPLETED_REQUEST

    def _run_call(
        self, method: str, path_parts: list[str], query: dict, body: bytes
    ) -> Answer:
        kind, name = path_parts[0], path_parts[1] if len(path_parts) > 1 else ""
        if method == "GET" and not name:
            return self._list(kind, query)
        if method == "POST":
            return self._create(kind, msgspec.json.decode(body))
        found = self._objects_by_key.get((kind, name))
        if found is None:
            return json_answer({}, 404)
        if method == "GET":
            return json_answer(found)
        content = msgspec.json.decode(body) if body else {}
        expected = content.get("meta", {}).get("revision") or query.get("revision")
        if expected and int(expected) != found["meta"]["revision"]:
            return json_answer(found, 409)
        if method == "PUT":
            return json_answer(self._put(kind, name, content.get("spec")))
        self._remove(kind, name)
        return json_answer(found)

    def _list(self, kind: str, query: dict) -> Answer:
        names = sorted(
            name for object_kind, name in self._objects_by_key if object_kind == kind
        )
        names = [name for name in names if name > query.get("after", "")]
        page = [self._objects_by_key[kind, name] for name in names[:MAX_PAGE_OBJECTS]]
        has_more = len(names) > MAX_PAGE_OBJECTS
        body = {"items": page, "has_more": has_more, "current_rev": self._revision}
        return json_answer(body)

    def _create(self, kind: str, content: dict) -> Answer:
        name = content["meta"]["name"]
        if (kind, name) in self._objects_by_key:
            return json_answer(self._objects_by_key[kind, name], 409)
        return json_answer(self._put(kind, name, content.get("spec")), 201)

    def _put(self, kind: str, name: str, spec: Any) -> dict:
        found = self._objects_by_key.get((kind, name))
        if found is not None and found["spec"] == spec:
            return found
        self._revision += 1
        meta = {"name": name, "revision": self._revision, "deleting": False}
        stored_object = {"meta": meta, "spec": spec, "status": None}
        self._objects_by_key[kind, name] = stored_object
        self._publish(_Change(self._revision, kind, stored_object, False))
        return stored_object

    def _remove(self, kind: str, name: str) -> None:
        stored_object = self._objects_by_key.pop((kind, name))
        self._revision += 1
        self._publish(_Change(self._revision, kind, stored_object, True))

    def _publish(self, change: _Change) -> None:
        self._history.append(change)
        if len(self._history) > MAX_HISTORY_CHANGES:
            self._history.popleft()
        for watch in tuple(self._pending_watches):
            if watch.kind == change.kind or watch.is_cancelled:
                self._complete_watch(watch)

    def _watch(self, kind: str, query: dict, answer: Callable) -> RequestHandle:
        revision = int(query["watch"])
        if revision > self._revision:
            answer(json_answer({}, 410))
            return COMPLETED_REQUEST
        oldest = self._history[0].revision if self._history else self._revision + 1
        if revision + 1 < oldest and revision < self._revision:
            answer(json_answer({}, 410))
            return COMPLETED_REQUEST
        watch = _PendingWatch(kind, revision, answer)
        if self._build_events(watch):
            self._answer_watch(watch)
            return COMPLETED_REQUEST
        self._pending_watches.append(watch)
        wait_s = min(MAX_WATCH_WAIT_S, int(query.get("wait_ms", 0)) / 1000.0)
        self._timers.call_later(wait_s, lambda: self._complete_watch(watch))
        return watch

    def _build_events(self, watch: _PendingWatch) -> list[dict]:
        return [
            {"object": change.stored_object, "tombstone": change.is_removal}
            for change in self._history
            if change.kind == watch.kind and change.revision > watch.revision
        ]

    def _complete_watch(self, watch: _PendingWatch) -> None:
        if watch in self._pending_watches:
            self._pending_watches.remove(watch)
            if not watch.is_cancelled and self._mode != "silent":
                self._answer_watch(watch)

    def _answer_watch(self, watch: _PendingWatch) -> None:
        body = {"events": self._build_events(watch), "current_rev": self._revision}
        watch.answer(json_answer(body))

    def _apply_command(self, command: dict) -> Answer:
        self._mode = command.get("mode", self._mode)
        if command.get("forget_history"):
            self._history.clear()
            self._revision += 1
        if command.get("lapse"):
            for kind, name in tuple(self._objects_by_key):
                if kind == command["lapse"]:
                    self._remove(kind, name)
        if command.get("copy"):
            self._copy = _Copy(
                dict(self._objects_by_key), self._revision, tuple(self._history)
            )
        if command.get("restore"):
            self._restore()
        return json_answer({"current_rev": self._revision})

    def _restore(self) -> None:
        self._history_number += 1
        self._objects_by_key = dict(self._copy.objects_by_key)
        self._revision = self._copy.revision
        self._history = collections.deque(self._copy.changes)
        pending_watches, self._pending_watches = self._pending_watches, []
        for watch in pending_watches:
            if not watch.is_cancelled and self._mode != "silent":
                watch.answer(json_answer({}, 503))


def main(address: str) -> None:
    """Serve on an ``ip:port`` address until the process ends."""
    timers = HubTimers()
    store = HostedStore(timers)
    server = CallerServer(
        PlatformHeaderCodec(),
        timers,
        store.handle,
        lambda: _CALLER_LIMITS,
        lambda _: None,
    )
    server.listen(address)
    while True:
        eventlet.sleep(60)


if __name__ == "__main__":
    main(sys.argv[1])
