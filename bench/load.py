"""Open-loop load generator, a process of its own: plan on stdin, result on stdout."""

# ruff: noqa: E402
from __future__ import annotations

import eventlet

if __name__ == "__main__":
    eventlet.monkey_patch()

import sys
import time

import msgspec
import urllib3

from almondspool.codes import ResultCode
from bench.entries import EntryBook
from bench.traffic import (
    Arrival,
    ClassResult,
    KeptAnswer,
    LoadPlan,
    LoadResult,
    RequestClass,
    new_histogram,
    schedule,
)

CONNECTIONS_PER_INSTANCE = 512
GRACE_S = 3.0
DEFAULT_DEADLINE_S = 2.0
_ANSWERED = (ResultCode.OK, ResultCode.PARTIAL)


class _Coverage(msgspec.Struct):
    total: int
    answered: int


class _Answer(msgspec.Struct):
    code: int
    coverage: _Coverage


_ANSWER_DECODER = msgspec.json.Decoder(_Answer)


class LoadGenerator:
    """Sends each request at its scheduled time, however slow the answers are."""

    def __init__(self, plan: LoadPlan) -> None:
        """Prepare a run of a plan."""
        self._plan = plan
        self._http = urllib3.PoolManager(
            maxsize=CONNECTIONS_PER_INSTANCE, retries=False
        )
        self._entries = EntryBook(plan.addresses, self._http)
        self._results_by_class = {kind.name: ClassResult() for kind in plan.classes}
        self._histograms_by_class = {
            kind.name: new_histogram() for kind in plan.classes
        }
        self._kept: list[KeptAnswer] = []
        self._worst_lag_s = 0.0
        self._start = 0.0

    def run(self) -> LoadResult:
        """Send every request and return what became of them."""
        arrivals = list(schedule(self._plan))
        for zone in self._plan.zones:
            self._entries.choose(zone)
        pool = eventlet.GreenPool(max(1, len(arrivals)))
        spent_s = time.process_time()
        self._start = time.monotonic()
        for arrival in arrivals:
            wait_s = self._start + arrival.due_s - time.monotonic()
            eventlet.sleep(max(0.0, wait_s))
            pool.spawn_n(self._send, arrival)
        pool.waitall()
        elapsed_s = time.monotonic() - self._start
        spent_s = time.process_time() - spent_s
        return self._conclude(spent_s / max(elapsed_s, 0.001))

    def _send(self, arrival: Arrival) -> None:
        lag_s = time.monotonic() - self._start - arrival.due_s
        self._worst_lag_s = max(self._worst_lag_s, lag_s)
        result = self._results_by_class[arrival.kind.name]
        result.offered += 1
        body = self._call(arrival)
        elapsed_s = time.monotonic() - self._start - arrival.due_s
        if body is None:
            result.failures += 1
            return
        self._count(arrival, body, elapsed_s)

    def _call(self, arrival: Arrival) -> bytes | None:
        address = self._entries.choose(arrival.zone)
        try:
            response = self._http.request(
                "POST",
                f"http://{address}/v1/search",
                body=self._body(arrival),
                timeout=_deadline_s(arrival.kind) + GRACE_S,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return response.data

    def _body(self, arrival: Arrival) -> bytes:
        kind = arrival.kind
        return msgspec.json.encode(
            {
                "request_id": f"{self._plan.request_prefix}-{arrival.number}",
                "team": kind.team,
                "caller": kind.caller,
                "query": arrival.query,
                "services": kind.services,
                "deadline_ms": kind.deadline_ms,
            }
        )

    def _count(self, arrival: Arrival, body: bytes, elapsed_s: float) -> None:
        result = self._results_by_class[arrival.kind.name]
        try:
            answer = _ANSWER_DECODER.decode(body)
            code = ResultCode(answer.code)
        except (msgspec.MsgspecError, ValueError):
            result.failures += 1
            return
        counts = result.count_by_code
        counts[code.name] = counts.get(code.name, 0) + 1
        result.shards_total += answer.coverage.total
        result.shards_answered += answer.coverage.answered
        if code in _ANSWERED:
            histogram = self._histograms_by_class[arrival.kind.name]
            histogram.record_value(max(1, int(elapsed_s * 1e6)))
            self._keep(arrival, body)
        elif elapsed_s > _deadline_s(arrival.kind):
            result.late_refusals += 1

    def _keep(self, arrival: Arrival, body: bytes) -> None:
        if arrival.number % self._plan.keep_one_in == 0:
            kind = arrival.kind
            kept = KeptAnswer(kind.team, kind.services, arrival.query, body.decode())
            self._kept.append(kept)

    def _conclude(self, processor_share: float) -> LoadResult:
        for name, result in self._results_by_class.items():
            result.latencies = self._histograms_by_class[name].encode().decode()
        return LoadResult(
            self._results_by_class,
            self._kept,
            self._worst_lag_s * 1000,
            processor_share,
        )


def _deadline_s(kind: RequestClass) -> float:
    return kind.deadline_ms / 1000 if kind.deadline_ms else DEFAULT_DEADLINE_S


def main() -> int:
    """Run the plan on stdin and write its result to stdout."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadPlan)
    result = LoadGenerator(plan).run()
    sys.stdout.buffer.write(msgspec.json.encode(result))
    sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
