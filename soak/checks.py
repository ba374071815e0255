"""Checks of the tier's guarantees against what callers and searchers observed."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from almondspool.standins.hosted_searchers import build_records

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

TOP_K = 20
MIN_COVERAGE = 0.5
# Statuses which guarantee that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A leaving upstream gets no new work after the platform's drain time plus half a
# second for requests in flight.
DRAIN_S = 3.5
# Nearly every request must be served after the last fault; callers retry the others.
MIN_SERVED_SHARE = 0.95


class Attempt(NamedTuple):
    """One request of a caller and its answer.

    Attributes:
        request_id: The request's id.
        kind: ``sweep``, ``fetch``, ``book`` or ``probe``.
        instance: The instance that it was sent to.
        sent_at: When it was sent, in seconds since the epoch.
        status: The answer's status; 0 without a complete answer.
        stamps: Signatures of the shards, as listed in the answer.
        missing: Number of shards that the answer reports as missing.
        signature: The upstream's signature of a forwarded answer.
        body: The answer's body.
        incarnation: How many times the instance had been started.
        version: The configuration version whose route was probed.
    """

    request_id: str
    kind: str
    instance: str
    sent_at: float
    status: int
    stamps: tuple[str, ...] = ()
    missing: int = 0
    signature: str = ""
    body: bytes = b""
    incarnation: int = 0
    version: int = 0


class Drain(NamedTuple):
    """The period in which a searcher was listed as draining in the store."""

    replica: str
    since: float
    until: float


def wrong_answers(attempts: Iterable[Attempt], shards: Sequence[str]) -> list[str]:
    """Return the successful answers that are not correct for their request."""
    problems = []
    for attempt in attempts:
        if attempt.status != 200:
            continue
        if attempt.kind == "sweep":
            problem = _sweep_problem(attempt, shards)
        else:
            problem = _single_problem(attempt)
        if problem:
            problems.append(f"{attempt.kind} {attempt.request_id}: {problem}")
    return problems


def _sweep_problem(attempt: Attempt, shards: Sequence[str]) -> str:
    stamp_fields = [stamp.split(".") for stamp in attempt.stamps]
    services = [fields[0] for fields in stamp_fields]
    if any(fields[1] != attempt.request_id for fields in stamp_fields):
        return "a stamp names another request"
    if len(services) != len(set(services)) or not set(services) <= set(shards):
        return "the stamps do not name distinct shards"
    if len(services) + attempt.missing != len(shards):
        return f"{len(services)} shards answered and {attempt.missing} missing"
    if len(services) < MIN_COVERAGE * len(shards):
        return "coverage is below the minimum"
    records = [
        record
        for service in services
        for record in build_records(service, attempt.request_id)
    ]
    expected = b"".join(sorted(records, reverse=True)[:TOP_K])
    return "" if attempt.body == expected else "the body is not the top records"


def _single_problem(attempt: Attempt) -> str:
    service, _, remainder = attempt.signature.partition(".")
    if remainder.partition(".")[0] != attempt.request_id:
        return "the signature names another request"
    expected = b"".join(build_records(service, attempt.request_id))
    return "" if attempt.body == expected else "the body is not the upstream's"


def duplicate_bookings(runs: Iterable[dict], attempts: Iterable[Attempt]) -> list[str]:
    """Return the bookings that ran more than once."""
    bookings = {attempt.request_id for attempt in attempts if attempt.kind == "book"}
    counts = collections.Counter(run["request"] for run in runs)
    return sorted(booking for booking in bookings if counts[booking] > 1)


def bookings_run_despite_refusal(
    runs: Iterable[dict], attempts: Iterable[Attempt]
) -> list[str]:
    """Return the bookings that ran although the caller was told that they did not."""
    ran = {run["request"] for run in runs}
    return sorted(
        attempt.request_id
        for attempt in attempts
        if attempt.kind == "book"
        and attempt.status in NOT_RUN_STATUSES
        and attempt.request_id in ran
    )


def work_after_drain(runs: Iterable[dict], drains: Iterable[Drain]) -> list[str]:
    """Return the requests that ran at a searcher after its drain time."""
    return [
        f"{run['request']} at {drain.replica}"
        for drain in drains
        for run in runs
        if run["replica"] == drain.replica
        and drain.since + DRAIN_S < run["at"] < drain.until
    ]


def configuration_rollbacks(attempts: Iterable[Attempt]) -> list[str]:
    """Return the versions whose route disappeared within one incarnation."""
    served_routes: set[tuple[str, int, int]] = set()
    problems = []
    for attempt in sorted(attempts, key=lambda attempt: attempt.sent_at):
        if attempt.kind != "probe":
            continue
        key = (attempt.instance, attempt.incarnation, attempt.version)
        if attempt.status == 404 and key in served_routes:
            problems.append(f"version {attempt.version} at {attempt.instance}")
        elif attempt.status and attempt.status != 404:
            served_routes.add(key)
    return problems


def recovery_problems(attempts: Sequence[Attempt]) -> list[str]:
    """Return a problem if too few requests were served after the last fault."""
    served = sum(attempt.status == 200 for attempt in attempts)
    if attempts and served >= MIN_SERVED_SHARE * len(attempts):
        return []
    return [f"{served} of {len(attempts)} requests served after the last fault"]
