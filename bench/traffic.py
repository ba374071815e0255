"""What a load generator sends and reports: plans, arrival times and results."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_FIGURES = 3
US_PER_MS = 1000.0


class RequestClass(msgspec.Struct, forbid_unknown_fields=True):
    """Requests of one kind.

    Attributes:
        name: Name in results.
        team: The section searched.
        caller: The caller's name, which decides the priority.
        weight: Relative share of the arrivals.
        queries: Queries to draw from.
        services: Services to search; empty for all of the team.
        deadline_ms: Deadline in milliseconds; 0 for the section's.
    """

    name: str
    team: str
    caller: str
    weight: float
    queries: list[dict[str, str]]
    services: list[str] = []
    deadline_ms: int = 0


class LoadPlan(msgspec.Struct, forbid_unknown_fields=True):
    """One run of a load generator.

    Attributes:
        rate_per_s: Mean arrival rate.
        duration_s: Time during which requests arrive, in seconds.
        seed: Seed of arrival times, classes and queries.
        addresses: Instances to ask for entries.
        zones: Availability zones that the callers are in.
        classes: What is sent.
        is_poisson: Whether intervals are exponential; else they are equal.
        keep_one_in: One answer in so many is kept whole for comparison.
        request_prefix: Start of every request id.
    """

    rate_per_s: float
    duration_s: float
    seed: int
    addresses: list[str]
    zones: list[str]
    classes: list[RequestClass]
    is_poisson: bool = True
    keep_one_in: int = 10
    request_prefix: str = "bench"


class ClassResult(msgspec.Struct):
    """What became of the requests of one class.

    Attributes:
        offered: Requests that arrived.
        count_by_code: Answers by name of the result code.
        failures: Requests that got no answer at all.
        shards_total: Shards of the answers' snapshots.
        shards_answered: Those of them that were answered.
        latencies: Encoded histogram of whole and partial answers, in microseconds.
        late_refusals: Refusals that came after the request's deadline.
    """

    offered: int = 0
    count_by_code: dict[str, int] = {}
    failures: int = 0
    shards_total: int = 0
    shards_answered: int = 0
    latencies: str = ""
    late_refusals: int = 0


class KeptAnswer(msgspec.Struct):
    """An answer to compare, with what was asked."""

    team: str
    services: list[str]
    query: dict[str, str]
    body: str


class LoadResult(msgspec.Struct):
    """What a load generator saw.

    Attributes:
        results_by_class: By name of the class.
        kept: Answers to compare.
        worst_lag_ms: Most time between a scheduled arrival and its sending.
        processor_share: Processor time of the generator over wall time.
    """

    results_by_class: dict[str, ClassResult]
    kept: list[KeptAnswer]
    worst_lag_ms: float
    processor_share: float


class Arrival(NamedTuple):
    """One scheduled request; ``due_s`` counts from the start of the run."""

    number: int
    due_s: float
    kind: RequestClass
    query: dict[str, str]
    zone: str


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)


def decode_histogram(encoded: str) -> HdrHistogram:
    """Return a histogram from its encoded form; empty text is an empty one."""
    return HdrHistogram.decode(encoded) if encoded else new_histogram()


def schedule(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the arrivals of a plan, fixed by its seed whatever the answers are."""
    rng = random.Random(plan.seed)
    weights = [kind.weight for kind in plan.classes]
    interval_s = 1.0 / plan.rate_per_s
    due_s = 0.0
    number = 0
    while True:
        due_s += rng.expovariate(plan.rate_per_s) if plan.is_poisson else interval_s
        if due_s >= plan.duration_s:
            return
        kind = rng.choices(plan.classes, weights)[0]
        query = rng.choice(kind.queries)
        yield Arrival(number, due_s, kind, query, rng.choice(plan.zones))
        number += 1
