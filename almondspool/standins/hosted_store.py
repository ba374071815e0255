"""Stand-in of the users' platform store: objects by kind, conditional writes, watches.

Run ``python -m almondspool.standins.hosted_store ADDRESS``. Requests under ``/control``
switch faults: ``mode`` is ``up``, ``silent``, ``busy`` or ``reset``.
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
    ANSWERED_AT_ONCE,
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

PREFIX = "/api/objects/"
CONTROL_PATH = "/control"
PAGE_OBJECTS = 50
HISTORY_EVENTS = 2000
MAX_WAIT_S = 30.0
_LIMITS = CallerLimits(65_536, 4_000_000, 30.0, 120.0)


class _Event(NamedTuple):
    revision: int
    kind: str
    stored: dict
    is_removal: bool


class _Waiter(RequestHandle):
    """A watch that waits for an event of its kind."""

    def __init__(self, kind: str, revision: int, answer: Callable) -> None:
        self.kind = kind
        self.revision = revision
        self.answer = answer
        self.is_over = False

    def cancel(self) -> None:
        self.is_over = True


class HostedStore:
    """The objects, their history and the faults that were switched on."""

    def __init__(self, timers: HubTimers) -> None:
        """Start empty and up."""
        self._timers = timers
        self._objects: dict[tuple[str, str], dict] = {}
        self._revision = 1
        self._history: collections.deque[_Event] = collections.deque()
        self._waiters: list[_Waiter] = []
        self._mode = "up"

    def handle(self, request: CallerRequest, answer: Callable) -> RequestHandle:
        """Serve one call."""
        path, _, query = request.target.partition("?")
        if path == CONTROL_PATH:
            answer(self._control(msgspec.json.decode(request.body)))
            return ANSWERED_AT_ONCE
        if self._mode == "silent":
            return _Waiter("", 0, answer)
        if self._mode == "busy":
            answer(json_answer({}, 503))
            return ANSWERED_AT_ONCE
        parts = [urllib.parse.unquote(part) for part in path[len(PREFIX) :].split("/")]
        values = dict(urllib.parse.parse_qsl(query))
        if request.method == "GET" and "watch" in values:
            return self._watch(parts[0], values, answer)
        answer(self._call(request.method, parts, values, request.body))
        return ANSWERED_AT_ONCE

    def _call(self, method: str, parts: list[str], query: dict, body: bytes) -> Answer:
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and not name:
            return self._list(kind, query)
        if method == "POST":
            return self._create(kind, msgspec.json.decode(body))
        found = self._objects.get((kind, name))
        if found is None:
            return json_answer({}, 404)
        if method == "GET":
            return json_answer(found)
        sent = msgspec.json.decode(body) if body else {}
        expected = sent.get("meta", {}).get("revision") or query.get("revision")
        if expected and int(expected) != found["meta"]["revision"]:
            return json_answer(found, 409)
        if method == "PUT":
            return json_answer(self._put(kind, name, sent.get("spec")))
        self._remove(kind, name)
        return json_answer(found)

    def _list(self, kind: str, query: dict) -> Answer:
        names = sorted(name for known, name in self._objects if known == kind)
        names = [name for name in names if name > query.get("after", "")]
        page = [self._objects[kind, name] for name in names[:PAGE_OBJECTS]]
        has_more = len(names) > PAGE_OBJECTS
        body = {"items": page, "has_more": has_more, "current_rev": self._revision}
        return json_answer(body)

    def _create(self, kind: str, sent: dict) -> Answer:
        name = sent["meta"]["name"]
        if (kind, name) in self._objects:
            return json_answer(self._objects[kind, name], 409)
        return json_answer(self._put(kind, name, sent.get("spec")), 201)

    def _put(self, kind: str, name: str, spec: Any) -> dict:
        found = self._objects.get((kind, name))
        if found is not None and found["spec"] == spec:
            return found
        self._revision += 1
        meta = {"name": name, "revision": self._revision, "deleting": False}
        stored = {"meta": meta, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._tell(_Event(self._revision, kind, stored, False))
        return stored

    def _remove(self, kind: str, name: str) -> None:
        stored = self._objects.pop((kind, name))
        self._revision += 1
        self._tell(_Event(self._revision, kind, stored, True))

    def _tell(self, event: _Event) -> None:
        self._history.append(event)
        if len(self._history) > HISTORY_EVENTS:
            self._history.popleft()
        for waiter in tuple(self._waiters):
            if waiter.kind == event.kind or waiter.is_over:
                self._end_wait(waiter)

    def _watch(self, kind: str, query: dict, answer: Callable) -> RequestHandle:
        revision = int(query["watch"])
        oldest = self._history[0].revision if self._history else self._revision + 1
        if revision + 1 < oldest and revision < self._revision:
            answer(json_answer({}, 410))
            return ANSWERED_AT_ONCE
        waiter = _Waiter(kind, revision, answer)
        if self._events(waiter):
            self._answer_watch(waiter)
            return ANSWERED_AT_ONCE
        self._waiters.append(waiter)
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / 1000.0)
        self._timers.call_later(wait_s, lambda: self._end_wait(waiter))
        return waiter

    def _events(self, waiter: _Waiter) -> list[dict]:
        return [
            {"object": event.stored, "tombstone": event.is_removal}
            for event in self._history
            if event.kind == waiter.kind and event.revision > waiter.revision
        ]

    def _end_wait(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            if not waiter.is_over and self._mode != "silent":
                self._answer_watch(waiter)

    def _answer_watch(self, waiter: _Waiter) -> None:
        body = {"events": self._events(waiter), "current_rev": self._revision}
        waiter.answer(json_answer(body))

    def _control(self, order: dict) -> Answer:
        self._mode = order.get("mode", self._mode)
        if order.get("forget_history"):
            self._history.clear()
            self._revision += 1
        if order.get("lapse"):
            for kind, name in tuple(self._objects):
                if kind == order["lapse"]:
                    self._remove(kind, name)
        return json_answer({"current_rev": self._revision})


def main(address: str) -> None:
    """Serve until the process is ended."""
    timers = HubTimers()
    store = HostedStore(timers)
    server = CallerServer(
        PlatformHeaderCodec(), timers, store.handle, lambda: _LIMITS, lambda _: None
    )
    server.listen(address)
    while True:
        eventlet.sleep(60)


if __name__ == "__main__":
    main(sys.argv[1])
