"""Platform stand-in: an object API over HTTP, and an instance list with a lag."""

# ruff: noqa: E402
from __future__ import annotations

import eventlet

# The standard library is patched before the other imports use it.
if __name__ == "__main__":
    eventlet.monkey_patch()

import base64
import time
from collections import deque
from typing import NamedTuple

import msgspec
from absl import app, flags

from almondspool.protocol.platform import PlatformObject
from almondspool.standins.faults import (
    CallCounters,
    ControlPort,
    FaultInjector,
    FaultKind,
    Journal,
)
from almondspool.standins.object_store import (
    HistoryGoneError,
    ObjectStore,
    ValueTooLargeError,
    VersionConflictError,
)
from almondspool.standins.web import (
    DropConnection,
    Listener,
    Request,
    Response,
    json_response,
    run_until_stopped,
)

RETRY_AFTER_S = 1
MAX_WATCH_WAIT_S = 120.0
DEFAULT_CALLS_PER_S = 2000
DEFAULT_WRITES_PER_S = 400
DEFAULT_HISTORY_LIMIT = 10_000


def _define_flags() -> None:
    flags.DEFINE_string("address", None, "ip:port of the object API.", required=True)
    flags.DEFINE_string(
        "control_address", None, "ip:port of the control port.", required=True
    )
    flags.DEFINE_integer(
        "calls_per_s", DEFAULT_CALLS_PER_S, "Calls per second before 429 replies."
    )
    flags.DEFINE_integer(
        "writes_per_s", DEFAULT_WRITES_PER_S, "Writes per second before 429 replies."
    )
    flags.DEFINE_float(
        "listing_lag_s", 2.0, "Seconds until a change of the instance list is visible."
    )
    flags.DEFINE_integer(
        "history_limit", DEFAULT_HISTORY_LIMIT, "Changes kept for watches."
    )


class ListedInstance(msgspec.Struct, forbid_unknown_fields=True):
    """One entry of the instance list.

    Attributes:
        instance: The instance's name.
        address: ``ip:port`` of its peer endpoint.
        zone: Its availability zone.
        leaving: Whether it is about to stop.
    """

    instance: str
    address: str
    zone: str
    leaving: bool = False


class WriteEntry(msgspec.Struct):
    """Journal entry of a write that took effect.

    Attributes:
        kind: The object's kind.
        name: The object's name.
        version: The version assigned to the write.
        deleted: Whether the write deleted the object.
        replied: False when the reply was dropped by a fault.
    """

    kind: str
    name: str
    version: int
    deleted: bool
    replied: bool = True


class _Listing(NamedTuple):
    """A version of the list, and the monotonic time when callers first get it."""

    visible_from: float
    instances: list[ListedInstance]


class InstanceList:
    """Instance list whose changes become visible after a lag."""

    def __init__(self, lag_s: float) -> None:
        """Start with an empty list; changes become visible after lag_s seconds."""
        self._lag_s = lag_s
        self._listings: deque[_Listing] = deque([_Listing(0.0, [])])

    def replace(self, instances: list[ListedInstance], now: float) -> None:
        """Replace the complete list; ``now`` is monotonic seconds."""
        self._listings.append(_Listing(now + self._lag_s, instances))

    def visible_at(self, now: float) -> list[ListedInstance]:
        """Return the list that callers get; ``now`` is monotonic seconds."""
        while len(self._listings) > 1 and self._listings[1].visible_from <= now:
            self._listings.popleft()
        return self._listings[0].instances


class RateLimiter:
    """Limits the calls admitted within any second, as a sliding window."""

    def __init__(self, calls_per_s: int) -> None:
        """Admit at most calls_per_s calls within any second."""
        self._calls_per_s = calls_per_s
        self._admitted_at: deque[float] = deque()

    def admit(self, now: float) -> bool:
        """Return whether a call is within the limit; ``now`` is monotonic seconds."""
        while self._admitted_at and self._admitted_at[0] <= now - 1.0:
            self._admitted_at.popleft()
        if len(self._admitted_at) >= self._calls_per_s:
            return False
        self._admitted_at.append(now)
        return True


class Platform(ControlPort):
    """The object API and its control port."""

    def __init__(
        self,
        store: ObjectStore,
        listing: InstanceList,
        call_limiter: RateLimiter,
        write_limiter: RateLimiter,
    ) -> None:
        """Serve a store and an instance list.

        Args:
            store: The objects.
            listing: The instance list.
            call_limiter: Limits all calls.
            write_limiter: Limits writes, in addition.
        """
        super().__init__(FaultInjector(), Journal(), CallCounters(time.monotonic))
        self.store = store
        self.listing = listing
        self._call_limiter = call_limiter
        self._write_limiter = write_limiter

    def route(self, request: Request) -> Response | None:
        """Handle ``PUT /control/instances`` and the routes of the base class."""
        if (request.method, request.path[1:]) == ("PUT", ("instances",)):
            instances = msgspec.json.decode(request.body, type=list[ListedInstance])
            self.listing.replace(instances, time.monotonic())
            return json_response({})
        return super().route(request)

    def handle_call(self, request: Request) -> Response:
        """Return the response to a call of the object API, subject to the faults."""
        if request.path[:1] != ("v1",) or len(request.path) < 2:
            return json_response({"error": "no such path"}, 404)
        # Faults are limited to an object kind, or to "instances".
        target = request.path[2] if len(request.path) > 2 else request.path[1]
        self.faults.wait_while_silent_or_frozen(request.connection, target)
        if self.faults.trigger(FaultKind.REFUSE, target, request.method):
            raise DropConnection
        self.counters.count(_call_name(request))
        self.faults.sleep_added_delay(target, request.method)
        if self.faults.trigger(FaultKind.OUTAGE, target, request.method):
            return Response(503, b"{}", retry_after_s=RETRY_AFTER_S)
        if not self._is_within_rate_limits(request.method):
            return Response(429, b"{}", retry_after_s=RETRY_AFTER_S)
        response = self._respond(request, target)
        self.faults.wait_while_silent_or_frozen(request.connection, target)
        return self._apply_reply_faults(response, target, request.method)

    def _is_within_rate_limits(self, method: str) -> bool:
        now = time.monotonic()
        if not self._call_limiter.admit(now):
            return False
        return method == "GET" or self._write_limiter.admit(now)

    def _respond(self, request: Request, target: str) -> Response:
        try:
            return self._route_call(request, target)
        except VersionConflictError as error:
            return json_response({"version": error.current}, 409)
        except ValueTooLargeError as error:
            return json_response({"error": str(error)}, 413)
        except HistoryGoneError as error:
            return json_response({"error": str(error)}, 410)
        except (KeyError, ValueError) as error:
            return json_response({"error": f"bad parameter: {error}"}, 400)

    def _route_call(self, request: Request, target: str) -> Response:
        match request.method, request.path[1:]:
            case "GET", ("objects", kind):
                return self._list(kind)
            case "GET", ("objects", kind, name):
                found = self.store.get(kind, name, self._trigger_stale_read(kind))
                return json_response(_encode_object(found)) if found else _not_found()
            case "PUT", ("objects", kind, name):
                return self._put(request, kind, name)
            case "DELETE", ("objects", kind, name):
                return self._delete(request, kind, name)
            case "GET", ("watch", kind):
                return self._watch(request, kind)
            case "GET", ("instances",):
                instances = self.listing.visible_at(time.monotonic())
                return json_response({"instances": instances})
        return _not_found()

    def _trigger_stale_read(self, kind: str) -> int | None:
        fault = self.faults.trigger(FaultKind.STALE_READ, kind, "GET")
        return fault.version if fault else None

    def _list(self, kind: str) -> Response:
        stale_version = self._trigger_stale_read(kind)
        version = self.store.version if stale_version is None else stale_version
        objects = [
            _encode_object(item) for item in self.store.list(kind, stale_version)
        ]
        return json_response({"version": version, "objects": objects})

    def _put(self, request: Request, kind: str, name: str) -> Response:
        expected = int(request.query["expected"])
        written = self.store.put(kind, name, request.body, expected)
        self._journal_write(written)
        value = {"kind": kind, "name": name, "version": written.version}
        return json_response(value)

    def _delete(self, request: Request, kind: str, name: str) -> Response:
        if not self.store.delete(kind, name, int(request.query["expected"])):
            return _not_found()
        self._journal_write(
            PlatformObject(kind, name, self.store.version, b"", deleted=True)
        )
        return json_response({})

    def _journal_write(self, written: PlatformObject) -> None:
        method = "DELETE" if written.deleted else "PUT"
        fault_kind = FaultKind.DROP_REPLY_AFTER_EFFECT
        drop_fault = self.faults.trigger(fault_kind, written.kind, method)
        self.journal.add(
            WriteEntry(
                written.kind,
                written.name,
                written.version,
                written.deleted,
                replied=drop_fault is None,
            )
        )
        if drop_fault:
            raise DropConnection

    def _watch(self, request: Request, kind: str) -> Response:
        after = int(request.query["after"])
        wait_s = min(int(request.query.get("wait_ms", "0")) / 1000, MAX_WATCH_WAIT_S)
        events = self.store.watch(kind, after, wait_s)
        version = events[-1].version if events else max(after, self.store.version)
        return json_response(
            {"version": version, "events": [_encode_object(event) for event in events]}
        )

    def _apply_reply_faults(
        self, response: Response, target: str, method: str
    ) -> Response:
        if self.faults.trigger(FaultKind.MALFORMED, target, method):
            return response._replace(body=b"{not json")
        if self.faults.trigger(FaultKind.TRUNCATED, target, method):
            return response._replace(body=response.body[: len(response.body) // 2])
        return response


def _call_name(request: Request) -> str:
    if request.path[1] == "objects" and request.method == "GET":
        return "list" if len(request.path) == 3 else "get"
    if request.path[1] == "objects":
        return request.method.lower()
    return request.path[1]


def _encode_object(item: PlatformObject) -> dict[str, object]:
    return {
        "kind": item.kind,
        "name": item.name,
        "version": item.version,
        "value": base64.b64encode(item.value).decode(),
        "deleted": item.deleted,
    }


def _not_found() -> Response:
    return json_response({"error": "no such object"}, 404)


def serve_platform(address: str, control_address: str, platform: Platform) -> Listener:
    """Open the ports of a platform and return the object API's listener."""
    listener = Listener(address, platform.handle_call)
    platform.faults.subscribe(lambda: _apply_listener_faults(listener, platform.faults))
    listener.open()
    Listener(control_address, platform.handle).open()
    return listener


def _apply_listener_faults(listener: Listener, faults: FaultInjector) -> None:
    listener.unsilence_connections()
    if faults.is_active(FaultKind.SILENT_CONNECTION):
        listener.silence_connections()


def main(argv: list[str]) -> None:
    """Run the platform stand-in until SIGTERM or SIGINT."""
    del argv
    values = flags.FLAGS
    platform = Platform(
        ObjectStore(values.history_limit),
        InstanceList(values.listing_lag_s),
        RateLimiter(values.calls_per_s),
        RateLimiter(values.writes_per_s),
    )
    serve_platform(values.address, values.control_address, platform)
    run_until_stopped()


if __name__ == "__main__":
    _define_flags()
    app.run(main)
