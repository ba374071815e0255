"""Stand-in for the users' searchers: those of a deployment in one process.

Run ``python -m almondspool.standins.hosted_searchers FILE``. Each searcher listens on
its own port, keeps its entry in the store up to date and writes the requests that it
runs or rejects to the journal. A request to the control address replaces the behaviour
of one searcher.
"""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

import eventlet
import msgspec
import xxhash

from almondspool.errors import PlatformError
from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.platform.store import ObjectStoreClient
from almondspool.protocol.exchange import Answer, RequestHandle
from almondspool.state.routes import CallerLimits
from almondspool.transport.caller_server import CallerServer
from almondspool.transport.hub_timers import HubTimers

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.protocol.exchange import CallerRequest
    from almondspool.transport.timers import TimerHandle

RECORDS_PER_REQUEST = 25
ENTRY_UPDATE_INTERVAL_S = 0.5
# 64 KiB of headers in 30 s, 4 MB of body, 30 s of idle time.
_CALLER_LIMITS = CallerLimits(65_536, 4_000_000, 30.0, 30.0)


class SearcherPlan(msgspec.Struct):
    """Settings of a searcher.

    Attributes:
        replica_id: Its id.
        service: Its service.
        zone: Its availability zone.
        listen: ``ip:port`` it listens on.
        address: ``ip:port`` in its entry: that of a proxy, or the one it listens on.
        slots: Slots in its entry and load reports; it rejects requests while it runs
            four times as many.
    """

    replica_id: str
    service: str
    zone: str
    listen: str
    address: str
    slots: int = 4


class SearcherProcessPlan(msgspec.Struct):
    """Settings of a searcher process.

    Attributes:
        store: ``ip:port`` of the store.
        control: ``ip:port`` of the control endpoint.
        journal: Path of the journal, with a JSON line for each request run or rejected.
        searchers: The searchers.
    """

    store: str
    control: str
    journal: str
    searchers: list[SearcherPlan]


class Behaviour(msgspec.Struct):
    """Behaviour of a searcher, which a control request replaces.

    Attributes:
        replica_id: The searcher's id.
        work_ms: Service time of a request, in milliseconds.
        state: ``ready`` or ``draining``.
        is_listed: Whether it has an entry in the store.
        is_full: Whether it rejects every request.
        fails: Whether every request runs and gets a reply with status 500.
        is_leaving: Whether every reply announces that it leaves (``Server-Leaving``).
        rest: ``Retry-After`` value of a rejection; empty for none.
        limit: ``Server-Limit`` value of every reply; empty for none.
    """

    replica_id: str
    work_ms: float = 5.0
    state: str = "ready"
    is_listed: bool = True
    is_full: bool = False
    fails: bool = False
    is_leaving: bool = False
    rest: str = ""
    limit: str = ""


def build_records(service: str, request_id: str) -> list[bytes]:
    """Return the records that a service returns for a request, 16 bytes each."""
    return [
        xxhash.xxh3_128_digest(f"{service}/{request_id}/{number}".encode())
        for number in range(RECORDS_PER_REQUEST)
    ]


class _RunningRequest(RequestHandle):
    """A running request, which is cancelled when its connection closes."""

    def __init__(self) -> None:
        self.timer: TimerHandle | None = None
        self.on_cancelled: Callable[[], None] = lambda: None

    def cancel(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.on_cancelled()


class Searcher:
    """One searcher on its own port."""

    def __init__(
        self, plan: SearcherPlan, timers: HubTimers, write_entry: Callable[[dict], None]
    ) -> None:
        """Start listening.

        Args:
            plan: The searcher's settings.
            timers: Timers and clock of the process.
            write_entry: Writes an entry to the journal.
        """
        self.plan = plan
        self.behaviour = Behaviour(plan.replica_id)
        self._timers = timers
        self._write_entry = write_entry
        self._running_count = 0
        self._codec = PlatformHeaderCodec()
        self._server = CallerServer(
            self._codec, timers, self._handle, lambda: _CALLER_LIMITS, lambda _: None
        )
        self._server.listen(plan.listen)

    def entry(self) -> dict:
        """Return the searcher's entry in the store."""
        return {
            "service": self.plan.service,
            "address": self.plan.address,
            "zone": self.plan.zone,
            "version": "v1",
            "slots": self.plan.slots,
            "state": self.behaviour.state,
            "warmup_left_ms": 0,
            "seq_no": 1,
        }

    def _handle(self, request: CallerRequest, answer: Callable) -> RequestHandle:
        headers = {name.lower(): value for name, value in request.headers}
        expected = headers.get(b"expected-instance", b"").decode()
        run = _RunningRequest()
        if expected != self.plan.replica_id:
            answer(Answer(421, ((b"Instance-Id", self.plan.replica_id.encode()),)))
        elif self.behaviour.is_full or self._running_count >= 4 * self.plan.slots:
            extra_headers: tuple = ((b"Not-Executed", b"1"),)
            if self.behaviour.rest:
                extra_headers += ((b"Retry-After", self.behaviour.rest.encode()),)
            self._journal_request(request, "rejected")
            answer(self._build_answer(request, 503, b"", extra_headers))
        else:
            self._running_count += 1
            self._journal_request(request, "run")
            work_s = self.behaviour.work_ms / 1000.0
            run.on_cancelled = self._release_slot
            run.timer = self._timers.call_later(
                work_s, lambda: self._finish_request(run, request, answer)
            )
        return run

    def _finish_request(
        self, run: _RunningRequest, request: CallerRequest, answer: Callable
    ) -> None:
        run.timer = None
        self._release_slot()
        signature = f"{self.plan.service}.{request.request_id}.{self.plan.replica_id}"
        signature_headers = ((b"Response-Signature", signature.encode()),)
        if self.behaviour.fails:
            answer(self._build_answer(request, 500, b"failed", signature_headers))
            return
        body = b"".join(build_records(self.plan.service, request.request_id))
        answer(self._build_answer(request, 200, body, signature_headers))

    def _release_slot(self) -> None:
        self._running_count -= 1

    def _build_answer(
        self, request: CallerRequest, status: int, body: bytes, extra_headers: tuple
    ) -> Answer:
        if self.behaviour.is_leaving:
            extra_headers += ((b"Server-Leaving", b"1"),)
        if self.behaviour.limit:
            extra_headers += ((b"Server-Limit", self.behaviour.limit.encode()),)
        load = f"{self._running_count},0,{self.plan.slots}".encode()
        return Answer(
            status,
            (
                (b"Request-Id", request.request_id.encode()),
                (b"Server-Load", load),
                (b"Keep-Alive", b"timeout=20"),
                *extra_headers,
            ),
            body,
        )

    def _journal_request(self, request: CallerRequest, event: str) -> None:
        self._write_entry(
            {
                "at": self._timers.wall_time(),
                "event": event,
                "request": request.request_id,
                "service": self.plan.service,
                "replica": self.plan.replica_id,
                "target": request.target,
            }
        )


class HostedSearchers:
    """The searchers of a process, their entries and the control endpoint."""

    def __init__(self, plan: SearcherProcessPlan, timers: HubTimers) -> None:
        """Start listening; run() writes the entries and keeps them up to date."""
        self._journal = pathlib.Path(plan.journal).open("ab", buffering=0)
        self._store = ObjectStoreClient(plan.store, lambda *_: None)
        self._searchers_by_id = {
            searcher.replica_id: Searcher(searcher, timers, self._write_entry)
            for searcher in plan.searchers
        }
        self._server = CallerServer(
            PlatformHeaderCodec(),
            timers,
            self._set_behaviour,
            lambda: _CALLER_LIMITS,
            lambda _: None,
        )
        self._server.listen(plan.control)

    def run(self) -> None:
        """Write the entries and keep them up to date, until the process ends."""
        while True:
            for searcher in self._searchers_by_id.values():
                try:
                    self._update_entry(searcher)
                except PlatformError as error:
                    print(
                        f"store entry of {searcher.plan.replica_id}: {error}",
                        flush=True,
                    )
                    break
            eventlet.sleep(ENTRY_UPDATE_INTERVAL_S)

    def _update_entry(self, searcher: Searcher) -> None:
        replica_id = searcher.plan.replica_id
        try:
            found = self._store.get("servers", replica_id)
        except PlatformError as error:
            if error.code.name != "PLATFORM_NOT_FOUND":
                raise
            if searcher.behaviour.is_listed:
                self._store.create("servers", replica_id, searcher.entry())
            return
        if not searcher.behaviour.is_listed:
            self._store.delete("servers", replica_id, found.position)
        elif found.spec != searcher.entry():
            self._store.replace("servers", replica_id, searcher.entry(), found.position)

    def _set_behaviour(self, request: CallerRequest, answer: Callable) -> RequestHandle:
        behaviour = msgspec.json.decode(request.body, type=Behaviour)
        self._searchers_by_id[behaviour.replica_id].behaviour = behaviour
        answer(Answer(200))
        return _RunningRequest()

    def _write_entry(self, entry: dict) -> None:
        self._journal.write(msgspec.json.encode(entry) + b"\n")


def main(path: str) -> None:
    """Run the searchers of a settings file until the process ends."""
    plan = msgspec.json.decode(
        pathlib.Path(path).read_bytes(), type=SearcherProcessPlan
    )
    HostedSearchers(plan, HubTimers()).run()


if __name__ == "__main__":
    main(sys.argv[1])
