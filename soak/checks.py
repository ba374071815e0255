"""Checks of the guarantees against the answers of a run and its journal.

The functions that take ``runs`` expect the journal of the searchers, see
HostedCluster.read_journal.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from almondspool.standins.hosted_searchers import build_records

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

TOP_K = 20
# Minimum share of the shards in a successful answer, as on the search route.
MIN_COVERAGE = 0.5
# Statuses that guarantee that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A draining searcher gets no new requests after the platform's drain time. Half a
# second is added for requests in flight.
MAX_WORK_AFTER_DRAIN_S = 3.5
# A limit holds in each window of this length, from the time after it was first named.
LIMIT_WINDOW_S = 4.0
LIMIT_KNOWN_AFTER_S = 4.0
# What the platform allows in a window: a multiple of the limit, and a few more.
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
# Nearly every request must be served after the last fault; callers retry the others.
MIN_SERVED_SHARE = 0.95
# Callers of an instance without searchers must be served this share as often as others.
MIN_STRANDED_SHARE = 2.0 / 3.0


class Attempt(NamedTuple):
    """One request of a caller and its answer.

    Attributes:
        request_id: The request's id.
        kind: ``sweep``, ``fetch``, ``book`` or ``probe``.
        instance: Name of the instance that it was sent to.
        sent_at: When it was sent, in seconds since the epoch.
        status: HTTP status of the answer; 0 without a complete answer.
        stamps: Signatures of the shards in a sweep's answer, each
            ``SERVICE.REQUEST_ID.REPLICA_ID``.
        missing_count: Number of shards that the answer reports as missing.
        signature: Signature of the searcher that ran a forwarded request, in the form
            of a stamp.
        body: Body of the answer.
        incarnation: How many times the instance had been started.
        probed_version: Configuration version whose route a probe requests.
    """

    request_id: str
    kind: str
    instance: str
    sent_at: float
    status: int
    stamps: tuple[str, ...] = ()
    missing_count: int = 0
    signature: str = ""
    body: bytes = b""
    incarnation: int = 0
    probed_version: int = 0


class Drain(NamedTuple):
    """Period in which a searcher was listed as draining in the store.

    Attributes:
        replica_id: The searcher's id.
        started_at: Start of the period, in seconds since the epoch.
        ended_at: End of the period, in seconds since the epoch.
    """

    replica_id: str
    started_at: float
    ended_at: float


class LimitedPeriod(NamedTuple):
    """Period in which a searcher named a limit on its requests.

    Attributes:
        replica_id: The searcher's id.
        limit: Requests a second.
        started_at: Start of the period, in seconds since the epoch.
        ended_at: End of the period, in seconds since the epoch.
    """

    replica_id: str
    limit: float
    started_at: float
    ended_at: float


class StrandedPeriod(NamedTuple):
    """Period in which one instance reached no searcher, after it had time to notice.

    Attributes:
        instance: Name of the instance.
        mode: How its links were cut.
        started_at: Start of the period, in seconds since the epoch.
        ended_at: End of the period, in seconds since the epoch.
    """

    instance: str
    mode: str
    started_at: float
    ended_at: float


def wrong_answers(attempts: Iterable[Attempt], shards: Sequence[str]) -> list[str]:
    """Return a description of each answer with status 200 that is incorrect.

    Args:
        attempts: Requests of all kinds.
        shards: Services of the search route.
    """
    problems = []
    for attempt in attempts:
        if attempt.status != 200:
            continue
        if attempt.kind == "sweep":
            problem = _sweep_problem(attempt, shards)
        else:
            problem = _forwarding_problem(attempt)
        if problem:
            problems.append(f"{attempt.kind} {attempt.request_id}: {problem}")
    return problems


def _sweep_problem(attempt: Attempt, shards: Sequence[str]) -> str:
    stamp_fields = [stamp.split(".") for stamp in attempt.stamps]
    services = [fields[0] for fields in stamp_fields]
    if any(fields[1] != attempt.request_id for fields in stamp_fields):
        return "a stamp contains the id of another request"
    if len(services) != len(set(services)) or not set(services) <= set(shards):
        return "the stamps are not of distinct shards of the route"
    if len(services) + attempt.missing_count != len(shards):
        return (
            f"{len(services)} shards in the answer and {attempt.missing_count} missing"
        )
    if len(services) < MIN_COVERAGE * len(shards):
        return "coverage is below the minimum"
    records = [
        record
        for service in services
        for record in build_records(service, attempt.request_id)
    ]
    expected = b"".join(sorted(records, reverse=True)[:TOP_K])
    return (
        ""
        if attempt.body == expected
        else "the body is not the top records of the shards in the answer"
    )


def _forwarding_problem(attempt: Attempt) -> str:
    service, _, remainder = attempt.signature.partition(".")
    if remainder.partition(".")[0] != attempt.request_id:
        return "the signature contains the id of another request"
    expected = b"".join(build_records(service, attempt.request_id))
    return (
        ""
        if attempt.body == expected
        else "the body differs from the searcher's records"
    )


def duplicate_bookings(runs: Iterable[dict], attempts: Iterable[Attempt]) -> list[str]:
    """Return the request ids of the bookings that ran more than once."""
    bookings = {attempt.request_id for attempt in attempts if attempt.kind == "book"}
    counts = collections.Counter(_ids_of_executed_requests(runs))
    return sorted(booking for booking in bookings if counts[booking] > 1)


def bookings_run_despite_refusal(
    runs: Iterable[dict], attempts: Iterable[Attempt]
) -> list[str]:
    """Return the request ids of the bookings that ran despite a "not run" status."""
    ran = set(_ids_of_executed_requests(runs))
    return sorted(
        attempt.request_id
        for attempt in attempts
        if attempt.kind == "book"
        and attempt.status in NOT_RUN_STATUSES
        and attempt.request_id in ran
    )


def _ids_of_executed_requests(runs: Iterable[dict]) -> list[str]:
    """Return the id of each run; the journal has an entry for each rejection, too."""
    return [run["request"] for run in runs if run["event"] == "run"]


def work_after_drain(runs: Iterable[dict], drains: Iterable[Drain]) -> list[str]:
    """Return the requests that ran at a searcher too long after it began to drain."""
    return [
        f"{run['request']} at {drain.replica_id}"
        for drain in drains
        for run in runs
        if run["replica"] == drain.replica_id
        and drain.started_at + MAX_WORK_AFTER_DRAIN_S < run["at"] < drain.ended_at
    ]


def exceeded_limits(
    runs: Iterable[dict], periods: Iterable[LimitedPeriod]
) -> list[str]:
    """Return the searchers that got more requests in a window than they allowed."""
    problems = []
    for period in periods:
        arrivals = [
            run["at"]
            for run in runs
            if run["replica"] == period.replica_id
            and period.started_at <= run["at"] < period.ended_at
        ]
        allowed = LIMIT_FACTOR * period.limit * LIMIT_WINDOW_S + LIMIT_EXTRA
        windows = [
            sum(at - LIMIT_WINDOW_S < other <= at for other in arrivals)
            for at in arrivals
            if at >= period.started_at + LIMIT_KNOWN_AFTER_S
        ]
        if windows and max(windows) > allowed:
            problems.append(f"{period.replica_id}: {max(windows)}, allowed {allowed}")
    return problems


def configuration_rollbacks(attempts: Iterable[Attempt]) -> list[str]:
    """Return the versions whose route an instance served and then no longer knew.

    Only requests to the same incarnation of an instance are compared.
    """
    served_routes: set[tuple[str, int, int]] = set()
    problems = []
    for attempt in sorted(attempts, key=lambda attempt: attempt.sent_at):
        if attempt.kind != "probe":
            continue
        key = (attempt.instance, attempt.incarnation, attempt.probed_version)
        if attempt.status == 404 and key in served_routes:
            problems.append(f"version {attempt.probed_version} at {attempt.instance}")
        elif attempt.status and attempt.status != 404:
            served_routes.add(key)
    return problems


def recovery_problems(attempts: Sequence[Attempt]) -> list[str]:
    """Return one problem if too few requests after the last fault were served."""
    served = sum(attempt.status == 200 for attempt in attempts)
    if attempts and served >= MIN_SERVED_SHARE * len(attempts):
        return []
    return [f"{served} of {len(attempts)} requests served after the last fault"]


def stranded_problems(
    attempts: Iterable[Attempt], period: StrandedPeriod | None
) -> list[str]:
    """Return one problem if callers of an instance without searchers fared badly."""
    if period is None:
        return []
    sent = [
        attempt
        for attempt in attempts
        if period.started_at <= attempt.sent_at < period.ended_at
    ]
    stranded = [each.status == 200 for each in sent if each.instance == period.instance]
    others = [each.status == 200 for each in sent if each.instance != period.instance]
    if not stranded or not others:
        return [f"no requests to compare: {len(stranded)}, {len(others)}"]
    share, others_share = sum(stranded) / len(stranded), sum(others) / len(others)
    if share >= MIN_STRANDED_SHARE * others_share:
        return []
    return [f"{period.mode}: {share:.2f} served, elsewhere {others_share:.2f}"]
