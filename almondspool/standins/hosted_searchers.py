"""Stand-in for the users' searchers: all of a deployment in one process.

Run ``python -m almondspool.standins.hosted_searchers PLAN``. Each searcher listens on
its own port, maintains an entry in the store and records its requests in the journal.
Requests to the control address replace the behaviour of one searcher.
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
_CALLER_LIMITS = CallerLimits(65_536, 4_000_000, 30.0, 30.0)


class SearcherPlan(msgspec.Struct):
    """One searcher.

    Attributes:
        replica_id: Its id.
        service: Its service.
        zone: Its availability zone.
        listen: ``ip:port`` it listens on.
        address: ``ip:port`` in its entry; a proxy's, or the one it listens on.
        slots: Requests it runs at a time.
    """

    replica_id: str
    service: str
    zone: str
    listen: str
    address: str
    slots: int = 4


class SearcherProcessPlan(msgspec.Struct):
    """All searchers of one process.

    Attributes:
        store: ``ip:port`` of the store.
        control: ``ip:port`` of the control endpoint.
        journal: File with one JSON line for each request run or rejected.
        searchers: The searchers.
    """

    store: str
    control: str
    journal: str
    searchers: list[SearcherPlan]


class Behaviour(msgspec.Struct):
    """Behaviour of a searcher; a control request replaces it.

    Attributes:
        replica_id: The searcher's id.
        work_ms: Service time of a request, in milliseconds.
        state: ``ready`` or ``draining``.
        is_listed: Whether it has an entry in the store.
        is_full: Whether it rejects every request.
        fails: Whether every request runs and fails.
        is_leaving: Whether every reply announces that it leaves.
        rest: ``Retry-After`` value of a rejection; empty for none.
    """

    replica_id: str
    work_ms: float = 5.0
    state: str = "ready"
    is_listed: bool = True
    is_full: bool = False
    fails: bool = False
    is_leaving: bool = False
    rest: str = ""


def build_records(service: str, request_id: str) -> list[bytes]:
    """Return the records that a service holds for a request."""
    return [
        xxhash.xxh3_128_digest(f"{service}/{request_id}/{number}".encode())
        for number in range(RECORDS_PER_REQUEST)
    ]


class _Run(RequestHandle):
    """A running request; it is cancelled when its connection closes."""

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
        self, plan: SearcherPlan, timers: HubTimers, write: Callable[[dict], None]
    ) -> None:
        """Start to listen."""
        self.plan = plan
        self.behaviour = Behaviour(plan.replica_id)
        self._timers = timers
        self._write = write
        self._running = 0
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
        run = _Run()
        if expected != self.plan.replica_id:
            answer(Answer(421, ((b"Instance-Id", self.plan.replica_id.encode()),)))
        elif self.behaviour.is_full or self._running >= 4 * self.plan.slots:
            extra: tuple = ((b"Not-Executed", b"1"),)
            if self.behaviour.rest:
                extra += ((b"Retry-After", self.behaviour.rest.encode()),)
            self._record(request, "rejected")
            answer(self._answer(request, 503, b"", extra))
        else:
            self._running += 1
            self._record(request, "run")
            work_s = self.behaviour.work_ms / 1000.0
            run.on_cancelled = self._end_run
            run.timer = self._timers.call_later(
                work_s, lambda: self._finish(run, request, answer)
            )
        return run

    def _finish(self, run: _Run, request: CallerRequest, answer: Callable) -> None:
        run.timer = None
        self._end_run()
        signature = f"{self.plan.service}.{request.request_id}.{self.plan.replica_id}"
        signature_headers = ((b"Response-Signature", signature.encode()),)
        if self.behaviour.fails:
            answer(self._answer(request, 500, b"failed", signature_headers))
            return
        body = b"".join(build_records(self.plan.service, request.request_id))
        answer(self._answer(request, 200, body, signature_headers))

    def _end_run(self) -> None:
        self._running -= 1

    def _answer(
        self, request: CallerRequest, status: int, body: bytes, extra: tuple
    ) -> Answer:
        if self.behaviour.is_leaving:
            extra += ((b"Server-Leaving", b"1"),)
        load = f"{self._running},0,{self.plan.slots}".encode()
        return Answer(
            status,
            (
                (b"Request-Id", request.request_id.encode()),
                (b"Server-Load", load),
                (b"Keep-Alive", b"timeout=20"),
                *extra,
            ),
            body,
        )

    def _record(self, request: CallerRequest, event: str) -> None:
        self._write(
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
    """The searchers of a plan, their entries and the control endpoint."""

    def __init__(self, plan: SearcherProcessPlan, timers: HubTimers) -> None:
        """Start to listen; run() maintains the entries."""
        self._journal = pathlib.Path(plan.journal).open("ab", buffering=0)
        self._store = ObjectStoreClient(plan.store, lambda *_: None)
        self._searchers_by_id = {
            searcher.replica_id: Searcher(searcher, timers, self._write)
            for searcher in plan.searchers
        }
        self._server = CallerServer(
            PlatformHeaderCodec(),
            timers,
            self._control,
            lambda: _CALLER_LIMITS,
            lambda _: None,
        )
        self._server.listen(plan.control)

    def run(self) -> None:
        """Keep the entry of each listed searcher up to date."""
        while True:
            for searcher in self._searchers_by_id.values():
                try:
                    self._update_entry(searcher)
                except PlatformError as error:
                    print(f"entry of {searcher.plan.replica_id}: {error}", flush=True)
                    break
            eventlet.sleep(ENTRY_UPDATE_INTERVAL_S)

    def _update_entry(self, searcher: Searcher) -> None:
        name = searcher.plan.replica_id
        try:
            found = self._store.get("servers", name)
        except PlatformError as error:
            if error.code.name != "PLATFORM_NOT_FOUND":
                raise
            if searcher.behaviour.is_listed:
                self._store.create("servers", name, searcher.entry())
            return
        if not searcher.behaviour.is_listed:
            self._store.delete("servers", name, found.revision)
        elif found.spec != searcher.entry():
            self._store.replace("servers", name, searcher.entry(), found.revision)

    def _control(self, request: CallerRequest, answer: Callable) -> RequestHandle:
        behaviour = msgspec.json.decode(request.body, type=Behaviour)
        self._searchers_by_id[behaviour.replica_id].behaviour = behaviour
        answer(Answer(200))
        return _Run()

    def _write(self, entry: dict) -> None:
        self._journal.write(msgspec.json.encode(entry) + b"\n")


def main(path: str) -> None:
    """Run the searchers of a plan until the process ends."""
    plan = msgspec.json.decode(
        pathlib.Path(path).read_bytes(), type=SearcherProcessPlan
    )
    HostedSearchers(plan, HubTimers()).run()


if __name__ == "__main__":
    main(sys.argv[1])
