"""Fault injection and journal of the stand-ins, and the control port for both."""

from __future__ import annotations

import enum
import random
from collections import Counter
from collections.abc import Callable

import eventlet
import msgspec

from almondspool.standins.web import (
    BLOCKED_REQUEST_POLL_S,
    Connection,
    Request,
    Response,
    json_response,
)

DEFAULT_OVERSIZED_BYTES = 32 * 1024 * 1024
MAX_JOURNAL_ENTRIES = 500_000


class FaultKind(enum.StrEnum):
    """Faults that a stand-in can simulate.

    Attributes:
        DELAY: Adds a fixed time to a call or leg.
        STRAGGLE: Multiplies the service time of a leg.
        FREEZE: Holds requests and results until the fault is cleared.
        CRASH_ON: Crashes a searcher on a leg with a given query field.
        DROP_REPLY_AFTER_EFFECT: Closes the connection instead of replying, after the
            call or leg took effect.
        OUTAGE: Replies 503.
        SLOW: Multiplies the service time of a leg and adds to it; on the platform,
            adds a time to each call.
        SILENT_CONNECTION: Leaves requests on the connections open when the fault is
            set unanswered.
        LIE_HEALTH: Reports a false health status.
        LIE_LOAD: Reports a false load.
        MALFORMED: Replies with invalid JSON.
        TRUNCATED: Sends only the first half of a reply or result.
        DOUBLED: Sends a result twice.
        WRONG_REQUEST: Sends a result under the id of another leg.
        WRONG_SNAPSHOT: Sends a result that names another snapshot.
        OVERSIZED: Pads a result to a given size.
        NEVER_ENDING: Sends bytes without an end instead of a result.
        STALE_READ: Serves reads as of an earlier version.
        REFUSE: Refuses connections; the platform closes the connection on each call.
    """

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
        target: An upstream id or, on the platform, an object kind or ``instances``;
            empty for all.
        method: Only calls of this HTTP method; empty for all.
        share: Fraction of the matching calls on which it occurs, from 0.0 to 1.0.
        count: Maximum number of occurrences; 0 for no limit.
        seed: Seed of the generator that chooses those calls.
        delay_ms: Added time (delay, slow), in milliseconds.
        factor: Multiplier of the service time (straggle, slow).
        field: Query field that crashes a searcher (crash_on).
        value: Value of that field (crash_on).
        restart_s: Time a crashed searcher stays down, in seconds (crash_on).
        version: Highest version that reads see (stale_read).
        size_bytes: Size of the padding in a result (oversized).
        running: Reported number of legs in slots (lie_load).
        queued: Reported number of waiting legs (lie_load).
        healthy: Whether it reports itself as healthy (lie_health).
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
    size_bytes: int = DEFAULT_OVERSIZED_BYTES
    running: int = 0
    queued: int = 0
    healthy: bool = True


class _ActiveFault:
    """A fault with the count of its occurrences."""

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


class FaultInjector:
    """The active faults of one process."""

    def __init__(self) -> None:
        """Start without faults."""
        self._active_faults: list[_ActiveFault] = []
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that runs after each change of the active faults."""
        self._subscribers.append(callback)

    def replace(self, faults: list[Fault]) -> None:
        """Replace the active faults by these."""
        self._active_faults = [_ActiveFault(fault) for fault in faults]
        for callback in self._subscribers:
            callback()

    def is_active(self, kind: FaultKind, target: str = "") -> bool:
        """Return whether active_faults() returns any."""
        return bool(self.active_faults(kind, target))

    def active_faults(self, kind: FaultKind, target: str = "") -> list[Fault]:
        """Return the active faults of a kind, without counting an occurrence.

        Faults that are limited to an HTTP method are left out.
        """
        return [
            active_fault.fault
            for active_fault in self._active_faults
            if active_fault.matches(kind, target, "")
        ]

    def trigger(
        self, kind: FaultKind, target: str = "", method: str = ""
    ) -> Fault | None:
        """Return the fault that occurs on a call and count it; None without one."""
        for active_fault in self._active_faults:
            if (
                active_fault.matches(kind, target, method)
                and active_fault.try_trigger()
            ):
                return active_fault.fault
        return None

    def wait_while_silent_or_frozen(
        self, connection: Connection, target: str = ""
    ) -> None:
        """Block while the connection is silent, then while the target is frozen.

        A request that arrives during a freeze runs after it, even if its sender has
        given up, like a request in the socket buffer of a suspended process.

        Raises:
            DropConnection: When the peer closes a silent connection.
        """
        connection.wait_while(lambda: connection.is_silent)
        while self.is_active(FaultKind.FREEZE, target):
            eventlet.sleep(BLOCKED_REQUEST_POLL_S)

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
        """Append an entry; the caller may still change its fields."""
        if len(self._entries) >= self._max_entries:
            self._dropped += 1
            return
        self._entries.append(entry)

    def clear(self) -> None:
        """Remove every entry and reset the count of dropped ones."""
        self._entries.clear()
        self._dropped = 0

    def as_json_value(self) -> dict[str, object]:
        """Return the entries and how many were dropped."""
        return {"entries": self._entries, "dropped": self._dropped}


class CallCounters:
    """Counts calls by name in total and by second."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start at the current time of a clock that returns seconds."""
        self._clock = clock
        self._started_at = clock()
        self.calls_by_name: Counter[str] = Counter()
        self.calls_by_second: Counter[int] = Counter()

    def count(self, name: str) -> None:
        """Count one call."""
        self.calls_by_name[name] += 1
        self.calls_by_second[int(self._clock() - self._started_at)] += 1

    def as_json_value(self) -> dict[str, object]:
        """Return the counts as a JSON object.

        Its keys are ``total``, ``by_name``, ``by_second`` (calls in each second since
        the start), ``peak_per_s`` (the most calls in one second) and ``elapsed_s``
        (seconds since the start).
        """
        elapsed_s = self._clock() - self._started_at
        return {
            "total": sum(self.calls_by_name.values()),
            "by_name": dict(self.calls_by_name),
            "peak_per_s": max(self.calls_by_second.values(), default=0),
            "by_second": dict(self.calls_by_second),
            "elapsed_s": elapsed_s,
        }


class ControlPort:
    """Handles the requests to a control port; subclasses add routes."""

    def __init__(
        self, faults: FaultInjector, journal: Journal, counters: CallCounters
    ) -> None:
        """Serve the faults, journal and counters of one process."""
        self.faults = faults
        self.journal = journal
        self.counters = counters

    def handle(self, request: Request) -> Response:
        """Return the response to a control request."""
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
        """Return the response of the route, or None if there is no such route."""
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
