"""Fault switches of the stand-ins and the control port that sets them."""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Callable

import eventlet
import msgspec

from almondspool.standins.web import (
    PEER_POLL_S,
    Connection,
    Request,
    Response,
    json_response,
)

DEFAULT_FLOOD_BYTES = 32 * 1024 * 1024
MAX_JOURNAL_ENTRIES = 500_000


class FaultKind(enum.StrEnum):
    """Faults that a stand-in can simulate."""

    DELAY = "delay"
    STRAGGLE = "straggle"
    FREEZE = "freeze"
    CRASH_ON = "crash_on"
    DROP_REPLY_AFTER_EFFECT = "drop_reply_after_effect"
    OUTAGE = "outage"
    SLOW = "slow"
    SILENT_CONNECTION = "silent_connection"
    LIE_HEALTH = "lie_health"
    LIE_LOAD = "lie_load"
    MALFORMED = "malformed"
    TRUNCATED = "truncated"
    DOUBLED = "doubled"
    WRONG_REQUEST = "wrong_request"
    WRONG_SNAPSHOT = "wrong_snapshot"
    OVERSIZED = "oversized"
    NEVER_ENDING = "never_ending"
    STALE_READ = "stale_read"
    REFUSE = "refuse"


class Fault(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One active fault.

    Attributes:
        kind: What goes wrong.
        target: An upstream id or, on the platform, an object kind; empty for all.
        method: Only calls of this HTTP method; empty for all.
        share: The share of matching calls on which it occurs, from 0.0 to 1.0.
        count: Maximum number of occurrences; 0 for no limit.
        seed: Seed of the random choice by share.
        delay_ms: Added time (delay, slow), in milliseconds.
        factor: Multiplier of the service time (straggle, slow).
        field: Query field that crashes a searcher (crash_on).
        value: Value of that field (crash_on).
        restart_s: Time a crashed searcher stays down, in seconds (crash_on).
        version: Highest version that reads see (stale_read).
        size_bytes: Size of the reply (oversized).
        running: Reported legs in slots (lie_load).
        queued: Reported waiting legs (lie_load).
        healthy: Reported health (lie_health).
    """

    kind: FaultKind
    target: str = ""
    method: str = ""
    share: float = 1.0
    count: int = 0
    seed: int = 1
    delay_ms: float = 0.0
    factor: float = 1.0
    field: str = ""
    value: str = ""
    restart_s: float = 1.0
    version: int = 0
    size_bytes: int = DEFAULT_FLOOD_BYTES
    running: int = 0
    queued: int = 0
    healthy: bool = True


class _Switch:
    def __init__(self, fault: Fault) -> None:
        self.fault = fault
        self._occurrences = 0
        self._random = random.Random(fault.seed)

    def matches(self, kind: FaultKind, target: str, method: str) -> bool:
        fault = self.fault
        return (
            fault.kind == kind
            and fault.target in ("", target)
            and fault.method in ("", method)
            and not (fault.count and self._occurrences >= fault.count)
        )

    def try_trigger(self) -> bool:
        if self.fault.share < 1.0 and self._random.random() >= self.fault.share:
            return False
        self._occurrences += 1
        return True


class FaultSwitches:
    """The active faults of one process."""

    def __init__(self) -> None:
        """Start without faults."""
        self._switches: list[_Switch] = []
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the active faults."""
        self._subscribers.append(callback)

    def replace(self, faults: list[Fault]) -> None:
        """Replace the active faults by these."""
        self._switches = [_Switch(fault) for fault in faults]
        for callback in self._subscribers:
            callback()

    def is_active(self, kind: FaultKind, target: str = "") -> bool:
        """Return whether a fault is active, without counting an occurrence."""
        return bool(self.active_faults(kind, target))

    def active_faults(self, kind: FaultKind, target: str = "") -> list[Fault]:
        """Return the active faults of a kind, without counting an occurrence."""
        return [
            switch.fault
            for switch in self._switches
            if switch.matches(kind, target, "")
        ]

    def trigger(
        self, kind: FaultKind, target: str = "", method: str = ""
    ) -> Fault | None:
        """Return the fault that occurs on this call, counting it, or None."""
        for switch in self._switches:
            if switch.matches(kind, target, method) and switch.try_trigger():
                return switch.fault
        return None

    def wait_while_frozen(self, connection: Connection, target: str = "") -> None:
        """Block while the connection is silent or the target frozen.

        A request that arrives during a freeze runs after it, even if its sender has
        given up, like a request in the socket buffer of a suspended process.

        Raises:
            DropConnection: When the peer closes a silent connection.
        """
        connection.wait_while(lambda: connection.silent)
        while self.is_active(FaultKind.FREEZE, target):
            eventlet.sleep(PEER_POLL_S)

    def sleep_added_delay(self, target: str = "", method: str = "") -> None:
        """Sleep for the time that delay and slow faults add."""
        for kind in (FaultKind.DELAY, FaultKind.SLOW):
            fault = self.trigger(kind, target, method)
            if fault is not None and fault.delay_ms:
                eventlet.sleep(fault.delay_ms / 1000)


class Journal:
    """Record of what a stand-in did, for checks after a run."""

    def __init__(self, max_entries: int = MAX_JOURNAL_ENTRIES) -> None:
        """Keep at most max_entries entries; further ones are only counted."""
        self._entries: list[msgspec.Struct] = []
        self._max_entries = max_entries
        self._dropped = 0

    def add(self, entry: msgspec.Struct) -> None:
        """Append an entry; its owner may still change it."""
        if len(self._entries) >= self._max_entries:
            self._dropped += 1
            return
        self._entries.append(entry)

    def clear(self) -> None:
        """Remove every entry."""
        self._entries.clear()
        self._dropped = 0

    def as_json_value(self) -> dict[str, object]:
        """Return the entries and how many were dropped."""
        return {"entries": self._entries, "dropped": self._dropped}


class CallCounters:
    """Counts calls by name in total and by second."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Use a clock that returns seconds."""
        self._now = now
        self._started = now()
        self.total_by_name: Counter[str] = Counter()
        self.total_by_second: Counter[int] = Counter()

    def count(self, name: str) -> None:
        """Count one call."""
        self.total_by_name[name] += 1
        self.total_by_second[int(self._now() - self._started)] += 1

    def as_json_value(self) -> dict[str, object]:
        """Return totals, calls in each second from the start, and the time."""
        elapsed_s = self._now() - self._started
        return {
            "total": sum(self.total_by_name.values()),
            "by_name": dict(self.total_by_name),
            "peak_per_s": max(self.total_by_second.values(), default=0),
            "by_second": dict(self.total_by_second),
            "elapsed_s": elapsed_s,
        }


class ControlPort:
    """Handles the requests of the control port; subclasses add routes."""

    def __init__(
        self, faults: FaultSwitches, journal: Journal, counters: CallCounters
    ) -> None:
        """Serve the given switches, journal and counters."""
        self.faults = faults
        self.journal = journal
        self.counters = counters

    def handle(self, request: Request) -> Response:
        """Handle one control request."""
        if request.path[:1] != ("control",):
            return json_response({"error": f"no such path {request.path}"}, 404)
        try:
            response = self.route(request)
        except (msgspec.DecodeError, ValueError) as error:
            return json_response({"error": str(error)}, 400)
        if response is None:
            return json_response({"error": f"no route for {request.path}"}, 404)
        return response

    def route(self, request: Request) -> Response | None:
        """Return the response of a known route, else None."""
        match request.method, request.path[1:]:
            case "GET", ("ready",):
                return json_response({})
            case "PUT", ("faults",):
                self.faults.replace(msgspec.json.decode(request.body, type=list[Fault]))
                return json_response({})
            case "DELETE", ("faults",):
                self.faults.replace([])
                return json_response({})
            case "GET", ("journal",):
                return json_response(self.journal_value())
            case "DELETE", ("journal",):
                self.clear_journal()
                return json_response({})
            case "GET", ("counters",):
                return json_response(self.counters.as_json_value())
        return None

    def clear_journal(self) -> None:
        """Clear what the journal route returns."""
        self.journal.clear()

    def journal_value(self) -> dict[str, object]:
        """Return the body of the journal route."""
        return self.journal.as_json_value()
