"""Searcher stand-in: the searchers of one process, each on its own port."""

# ruff: noqa: E402
from __future__ import annotations

import eventlet
import eventlet.queue

# The standard library is patched before the other imports use it.
if __name__ == "__main__":
    eventlet.monkey_patch()

import time
from collections.abc import Iterator

import msgspec
from absl import app, flags

from almondspool.standins.faults import (
    CallCounters,
    ControlPort,
    Fault,
    FaultInjector,
    FaultKind,
    Journal,
)
from almondspool.standins.leg_runs import (
    CrashError,
    LegRunner,
    SearchIndex,
    WireLeg,
    WireResult,
)
from almondspool.standins.searcher_settings import (
    SearcherProcessSettings,
    SearcherSettings,
    load_process_settings,
)
from almondspool.standins.web import (
    DropConnection,
    Listener,
    Request,
    Response,
    json_response,
    run_until_stopped,
)

NEVER_ENDING_CHUNK_BYTES = 64 * 1024
NEVER_ENDING_CHUNK_INTERVAL_S = 0.01

# Faults of a result, in order of precedence.
_REPLY_FAULT_KINDS = (
    FaultKind.DROP_REPLY_AFTER_EFFECT,
    FaultKind.MALFORMED,
    FaultKind.TRUNCATED,
    FaultKind.DOUBLED,
    FaultKind.WRONG_REQUEST,
    FaultKind.WRONG_SNAPSHOT,
    FaultKind.OVERSIZED,
    FaultKind.NEVER_ENDING,
)


class _LegsBody(msgspec.Struct):
    legs: list[WireLeg]


class _CancelBody(msgspec.Struct):
    leg_ids: list[str]


class _SearcherState(msgspec.Struct, forbid_unknown_fields=True):
    """Changes of a searcher's state; None for parts that stay."""

    draining: bool | None = None
    down: bool | None = None
    snapshots: list[int] | None = None


class ViolationEntry(msgspec.Struct):
    """Journal entry of a connection above the limit.

    Attributes:
        upstream_id: The searcher.
        open_connections: Open connections, including this one.
    """

    upstream_id: str
    open_connections: int


class Searcher:
    """One searcher.

    Attributes:
        runner: Its slots and its queue.
        listener: Its port.
    """

    def __init__(
        self,
        settings: SearcherSettings,
        index: SearchIndex,
        faults: FaultInjector,
        journal: Journal,
        counters: CallCounters,
    ) -> None:
        """Prepare a searcher; open() starts its listener."""
        self._settings = settings
        self._faults = faults
        self._journal = journal
        self._counters = counters
        self._is_down = False
        self._restart_thread: eventlet.greenthread.GreenThread | None = None
        self._last_load: dict[str, object] = {}
        self._last_load_at = float("-inf")
        self.runner = LegRunner(settings, index, faults, journal, self._crash)
        self.listener = Listener(
            settings.address,
            self._handle,
            max_connections=settings.connections,
            connect_cost_s=settings.connect_cost_ms / 1000,
            on_violation=self._record_violation,
        )

    def open(self) -> None:
        """Start listening."""
        self.listener.open()

    def apply_faults(self) -> None:
        """Apply the active faults that affect the listener and its connections."""
        upstream_id = self._settings.upstream_id
        self.listener.unsilence_connections()
        if self._faults.is_active(FaultKind.SILENT_CONNECTION, upstream_id):
            self.listener.silence_connections()
        self._update_listener()

    def apply_state(self, state: _SearcherState) -> None:
        """Apply a state change received on the control port."""
        if state.draining is not None:
            self.runner.draining = state.draining
        if state.snapshots is not None:
            held = self._settings.shards_by_snapshot.keys()
            self.runner.snapshots = set(state.snapshots) & held
        if state.down is not None:
            if self._restart_thread is not None:
                self._restart_thread.cancel()
            self._set_down(state.down)

    def _set_down(self, is_down: bool) -> None:
        was_down, self._is_down = self._is_down, is_down
        if is_down and not was_down:
            self.runner.abort()
        if was_down and not is_down:
            self.runner.reset_warmth()
        self._update_listener()

    def _update_listener(self) -> None:
        refuses = self._faults.is_active(FaultKind.REFUSE, self._settings.upstream_id)
        if self._is_down or refuses:
            self.listener.close()
        else:
            self.listener.open()
        if self._is_down:
            self.listener.close_connections()

    def _crash(self, restart_s: float) -> None:
        self._set_down(True)
        self._restart_thread = eventlet.spawn_after(restart_s, self._set_down, False)

    def _record_violation(self, open_connections: int) -> None:
        self._journal.add(ViolationEntry(self._settings.upstream_id, open_connections))

    def _handle(self, request: Request) -> Response:
        upstream_id = self._settings.upstream_id
        self._faults.wait_while_silent_or_frozen(request.connection, upstream_id)
        self._counters.count("/".join(request.path))
        if self._faults.trigger(FaultKind.OUTAGE, upstream_id):
            return Response(503)
        try:
            response = self._route(request)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, 400)
        self._faults.wait_while_silent_or_frozen(request.connection, upstream_id)
        return response

    def _route(self, request: Request) -> Response:
        match request.method, request.path:
            case "POST", ("v1", "legs"):
                legs = msgspec.json.decode(request.body, type=_LegsBody).legs
                stream = self._start_legs(legs, request)
                return Response(200, stream, "application/x-ndjson")
            case "POST", ("v1", "cancel"):
                body = msgspec.json.decode(request.body, type=_CancelBody)
                self.runner.cancel(body.leg_ids)
                return json_response({})
            case "GET", ("v1", "load"):
                return json_response(self._report_load())
            case "GET", ("v1", "health"):
                return self._report_health()
        return json_response({"error": "no such path"}, 404)

    def _report_load(self) -> dict[str, object]:
        fault = self._faults.trigger(FaultKind.LIE_LOAD, self._settings.upstream_id)
        if fault is not None:
            return _load_value(fault.running, fault.queued, False, 1.0)
        age_s = time.monotonic() - self._last_load_at
        if age_s >= self._settings.load_lag_s:
            runner = self.runner
            self._last_load = _load_value(
                runner.running, runner.queued, runner.draining, runner.warmth()
            )
            self._last_load_at = time.monotonic()
        return self._last_load

    def _report_health(self) -> Response:
        fault = self._faults.trigger(FaultKind.LIE_HEALTH, self._settings.upstream_id)
        is_healthy = fault.healthy if fault else not self.runner.draining
        return json_response({}, 200 if is_healthy else 503)

    def _start_legs(self, legs: list[WireLeg], request: Request) -> Iterator[bytes]:
        # The legs start before the reply, so that they run even if it is dropped.
        results: eventlet.queue.LightQueue = eventlet.queue.LightQueue()
        for leg in legs:
            eventlet.spawn(self._run_leg, leg, results)
        return self._stream_results(len(legs), results, request)

    def _run_leg(self, leg: WireLeg, results: eventlet.queue.LightQueue) -> None:
        try:
            results.put(self.runner.run(leg))
        except CrashError:
            results.put(None)

    def _stream_results(
        self, count: int, results: eventlet.queue.LightQueue, request: Request
    ) -> Iterator[bytes]:
        upstream_id = self._settings.upstream_id
        for _ in range(count):
            result = results.get()
            if result is None:
                raise DropConnection
            self._faults.wait_while_silent_or_frozen(request.connection, upstream_id)
            result.load = self._report_load()
            yield from self._encode_with_faults(result)

    def _encode_with_faults(self, result: WireResult) -> Iterator[bytes]:
        for kind in _REPLY_FAULT_KINDS:
            fault = self._faults.trigger(kind, self._settings.upstream_id)
            if fault is not None:
                yield from encode_faulty_result(fault, result)
                return
        yield encode_result(result)


def _load_value(
    running: int, queued: int, draining: bool, warmth: float
) -> dict[str, object]:
    return {
        "running": running,
        "queued": queued,
        "draining": draining,
        "warmth": warmth,
    }


def encode_result(result: WireResult) -> bytes:
    """Return a result as one line of JSON, with the line feed."""
    return msgspec.json.encode(result) + b"\n"


def encode_faulty_result(fault: Fault, result: WireResult) -> Iterator[bytes]:
    """Yield the bytes that a reply with a fault contains in place of a result.

    Raises:
        DropConnection: When the fault closes the connection during the reply.
    """
    line = encode_result(result)
    match fault.kind:
        case FaultKind.DROP_REPLY_AFTER_EFFECT:
            raise DropConnection
        case FaultKind.MALFORMED:
            yield b"{not json}\n"
        case FaultKind.TRUNCATED:
            yield line[: len(line) // 2]
            raise DropConnection
        case FaultKind.DOUBLED:
            yield line
            yield line
        case FaultKind.WRONG_REQUEST:
            altered_result = msgspec.structs.replace(
                result, leg_id=result.leg_id + "-other"
            )
            yield encode_result(altered_result)
        case FaultKind.WRONG_SNAPSHOT:
            altered_result = msgspec.structs.replace(
                result, snapshot=result.snapshot + 1
            )
            yield encode_result(altered_result)
        case FaultKind.OVERSIZED:
            padding = "x" * fault.size_bytes
            yield encode_result(msgspec.structs.replace(result, detail=padding))
        case FaultKind.NEVER_ENDING:
            while True:
                yield b"x" * NEVER_ENDING_CHUNK_BYTES
                eventlet.sleep(NEVER_ENDING_CHUNK_INTERVAL_S)


class SearcherProcess(ControlPort):
    """The searchers of a process and their control port."""

    def __init__(self, settings: SearcherProcessSettings) -> None:
        """Prepare every searcher of the settings; open() starts their listeners."""
        super().__init__(FaultInjector(), Journal(), CallCounters(time.monotonic))
        index_by_team = {
            dataset.team: SearchIndex(dataset) for dataset in settings.datasets
        }
        self.searchers_by_id = {
            searcher.upstream_id: Searcher(
                searcher,
                index_by_team[searcher.team],
                self.faults,
                self.journal,
                self.counters,
            )
            for searcher in settings.searchers
        }
        self.faults.subscribe(self._apply_faults)

    def open(self) -> None:
        """Start the listener of every searcher."""
        for searcher in self.searchers_by_id.values():
            searcher.open()

    def route(self, request: Request) -> Response | None:
        """Handle ``PUT /control/searchers/ID`` and the routes of the base class."""
        match request.method, request.path[1:]:
            case "PUT", ("searchers", upstream_id):
                searcher = self.searchers_by_id.get(upstream_id)
                if searcher is None:
                    return json_response({"error": f"no searcher {upstream_id}"}, 404)
                state = msgspec.json.decode(request.body, type=_SearcherState)
                searcher.apply_state(state)
                return json_response({})
        return super().route(request)

    def clear_journal(self) -> None:
        """Clear the entries and reset the connection counts."""
        super().clear_journal()
        for searcher in self.searchers_by_id.values():
            searcher.listener.reset_counts()

    def journal_value(self) -> dict[str, object]:
        """Return the journal with each searcher's connection counts."""
        value = super().journal_value()
        value["connections"] = {
            upstream_id: searcher.listener.counts()._asdict()
            for upstream_id, searcher in self.searchers_by_id.items()
        }
        return value

    def _apply_faults(self) -> None:
        for searcher in self.searchers_by_id.values():
            searcher.apply_faults()


def main(argv: list[str]) -> None:
    """Run the searchers until SIGTERM or SIGINT."""
    del argv
    settings = load_process_settings(flags.FLAGS.settings)
    process = SearcherProcess(settings)
    process.open()
    Listener(settings.control_address, process.handle).open()
    run_until_stopped()


if __name__ == "__main__":
    flags.DEFINE_string("settings", None, "Settings file (YAML).", required=True)
    app.run(main)
