"""Plans, arrival times and results of load generators.

LoadPlan and LoadResult are passed as JSON between a run and its generator processes.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000.0


class RequestClass(msgspec.Struct, forbid_unknown_fields=True):
    """Class of similar requests.

    Attributes:
        name: Name in the results.
        team: Team whose section is searched.
        caller: Name of the caller, which determines the priority.
        weight: Relative share of the arrivals.
        queries: Queries to choose from at random.
        services: Services to search; empty for all of the team.
        deadline_ms: Deadline in milliseconds; 0 for the section's default.
    """

    name: str
    team: str
    caller: str
    weight: float
    queries: list[dict[str, str]]
    services: list[str] = []
    deadline_ms: int = 0


class LoadPlan(msgspec.Struct, forbid_unknown_fields=True):
    """Load that one generator process sends.

    Attributes:
        rate_per_s: Mean arrival rate, in requests per second.
        duration_s: Time during which requests arrive, in seconds.
        seed: Seed of the arrival times, classes, queries and zones.
        addresses: Addresses of the instances that are asked for entries.
        zones: Availability zones of the callers.
        classes: Classes of the requests to send.
        is_poisson: Whether intervals are exponential; otherwise they are equal.
        sampling_interval: Number of requests of which one is sampled; its answer is
            compared with a plain scan.
        request_prefix: Prefix of every request id.
    """

    rate_per_s: float
    duration_s: float
    seed: int
    addresses: list[str]
    zones: list[str]
    classes: list[RequestClass]
    is_poisson: bool = True
    sampling_interval: int = 10
    request_prefix: str = "bench"


class ClassResult(msgspec.Struct):
    """Outcomes of the requests of one class.

    Attributes:
        offered: Requests that arrived.
        count_by_code: Answers by name of the result code.
        failures: Requests without a valid answer.
        shards_total: Total number of shards in the answers' coverage.
        shards_answered: Answered shards in the answers' coverage.
        latencies: Encoded histogram of the latencies of complete and partial answers,
            in microseconds.
        late_refusals: Refusals that arrived after the request's deadline.
    """

    offered: int = 0
    count_by_code: dict[str, int] = {}
    failures: int = 0
    shards_total: int = 0
    shards_answered: int = 0
    latencies: str = ""
    late_refusals: int = 0


class SampledAnswer(msgspec.Struct):
    """Answer to be compared with a plain scan, with its request."""

    team: str
    services: list[str]
    query: dict[str, str]
    body: str


class LoadResult(msgspec.Struct):
    """Result of a load generator.

    Attributes:
        results_by_class: Results by name of the class.
        sampled_answers: Answers to be compared with a plain scan.
        max_lag_ms: Maximum delay between the scheduled and the actual sending of a
            request, in milliseconds.
        processor_share: Ratio of the generator's processor time to wall time.
    """

    results_by_class: dict[str, ClassResult]
    sampled_answers: list[SampledAnswer]
    max_lag_ms: float
    processor_share: float


class Arrival(NamedTuple):
    """One scheduled request; ``due_s`` is its time in seconds from the start."""

    number: int
    due_s: float
    request_class: RequestClass
    query: dict[str, str]
    zone: str


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def decode_histogram(encoded: str) -> HdrHistogram:
    """Decode a histogram; an empty string gives an empty histogram."""
    return HdrHistogram.decode(encoded) if encoded else new_histogram()


def schedule_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the arrivals of a plan, which depend on its seed and not on answers.

    There are none at a rate of 0, which is a share of a capacity of 0.
    """
    if plan.rate_per_s <= 0.0:
        return
    rng = random.Random(plan.seed)
    weights = [request_class.weight for request_class in plan.classes]
    interval_s = 1.0 / plan.rate_per_s
    due_s = 0.0
    number = 0
    while True:
        due_s += rng.expovariate(plan.rate_per_s) if plan.is_poisson else interval_s
        if due_s >= plan.duration_s:
            return
        request_class = rng.choices(plan.classes, weights)[0]
        query = rng.choice(request_class.queries)
        yield Arrival(number, due_s, request_class, query, rng.choice(plan.zones))
        number += 1
