"""Open-loop load generator process.

Reads a LoadPlan from standard input and writes a LoadResult to standard output.
"""

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
from bench.entries import EntryCache
from bench.traffic import (
    Arrival,
    ClassResult,
    LoadPlan,
    LoadResult,
    RequestClass,
    SampledAnswer,
    new_histogram,
    schedule_arrivals,
)

CONNECTIONS_PER_INSTANCE = 512
# Time that the generator waits for an answer beyond the request's deadline.
REPLY_GRACE_S = 3.0
# Deadline assumed for requests that leave it to the section.
ASSUMED_DEADLINE_S = 2.0
_COMPLETE_OR_PARTIAL_CODES = (ResultCode.OK, ResultCode.PARTIAL)


class _Coverage(msgspec.Struct):
    total: int
    answered: int


class _Answer(msgspec.Struct):
    code: int
    coverage: _Coverage


_ANSWER_DECODER = msgspec.json.Decoder(_Answer)


class LoadGenerator:
    """Sends each request at its scheduled time, regardless of earlier answers."""

    def __init__(self, plan: LoadPlan) -> None:
        """Prepare to send the load of a plan."""
        self._plan = plan
        self._http = urllib3.PoolManager(
            maxsize=CONNECTIONS_PER_INSTANCE, retries=False
        )
        self._entry_cache = EntryCache(plan.addresses, self._http)
        self._results_by_class = {
            request_class.name: ClassResult() for request_class in plan.classes
        }
        self._histograms_by_class = {
            request_class.name: new_histogram() for request_class in plan.classes
        }
        self._sampled_answers: list[SampledAnswer] = []
        self._max_lag_s = 0.0
        self._started_at = 0.0

    def run(self) -> LoadResult:
        """Send every request, wait for the answers and return the result."""
        arrivals = list(schedule_arrivals(self._plan))
        for zone in self._plan.zones:
            self._entry_cache.choose(zone)
        pool = eventlet.GreenPool(max(1, len(arrivals)))
        processor_s = time.process_time()
        self._started_at = time.monotonic()
        for arrival in arrivals:
            wait_s = self._started_at + arrival.due_s - time.monotonic()
            eventlet.sleep(max(0.0, wait_s))
            pool.spawn_n(self._send, arrival)
        pool.waitall()
        elapsed_s = time.monotonic() - self._started_at
        processor_s = time.process_time() - processor_s
        return self._build_result(processor_s / max(elapsed_s, 0.001))

    def _send(self, arrival: Arrival) -> None:
        lag_s = time.monotonic() - self._started_at - arrival.due_s
        self._max_lag_s = max(self._max_lag_s, lag_s)
        result = self._results_by_class[arrival.request_class.name]
        result.offered += 1
        body = self._send_request(arrival)
        elapsed_s = time.monotonic() - self._started_at - arrival.due_s
        if body is None:
            result.failures += 1
            return
        self._record_answer(arrival, body, elapsed_s)

    def _send_request(self, arrival: Arrival) -> bytes | None:
        address = self._entry_cache.choose(arrival.zone)
        try:
            response = self._http.request(
                "POST",
                f"http://{address}/v1/search",
                body=self._encode_request(arrival),
                timeout=_deadline_s(arrival.request_class) + REPLY_GRACE_S,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return response.data

    def _encode_request(self, arrival: Arrival) -> bytes:
        request_class = arrival.request_class
        return msgspec.json.encode(
            {
                "request_id": f"{self._plan.request_prefix}-{arrival.number}",
                "team": request_class.team,
                "caller": request_class.caller,
                "query": arrival.query,
                "services": request_class.services,
                "deadline_ms": request_class.deadline_ms,
            }
        )

    def _record_answer(self, arrival: Arrival, body: bytes, elapsed_s: float) -> None:
        result = self._results_by_class[arrival.request_class.name]
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
        if code in _COMPLETE_OR_PARTIAL_CODES:
            histogram = self._histograms_by_class[arrival.request_class.name]
            histogram.record_value(max(1, int(elapsed_s * 1e6)))
            self._record_sample(arrival, body)
        elif elapsed_s > _deadline_s(arrival.request_class):
            result.late_refusals += 1

    def _record_sample(self, arrival: Arrival, body: bytes) -> None:
        if arrival.number % self._plan.sampling_interval == 0:
            request_class = arrival.request_class
            sample = SampledAnswer(
                request_class.team, request_class.services, arrival.query, body.decode()
            )
            self._sampled_answers.append(sample)

    def _build_result(self, processor_share: float) -> LoadResult:
        for name, result in self._results_by_class.items():
            result.latencies = self._histograms_by_class[name].encode().decode()
        return LoadResult(
            self._results_by_class,
            self._sampled_answers,
            self._max_lag_s * 1000,
            processor_share,
        )


def _deadline_s(request_class: RequestClass) -> float:
    return (
        request_class.deadline_ms / 1000
        if request_class.deadline_ms
        else ASSUMED_DEADLINE_S
    )


def main() -> int:
    """Run the plan read from standard input and write its result."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadPlan)
    result = LoadGenerator(plan).run()
    sys.stdout.buffer.write(msgspec.json.encode(result))
    sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
