"""The promises of the tier, checked from what callers and searchers saw."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from almondspool.standins.hosted_searchers import build_records

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

TOP_K = 20
LEAST_COVERAGE = 0.5
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# An upstream that leaves gets no new work after the drain time of the platform, and
# half a second for requests on their way.
DRAIN_S = 3.5
# After the last fault nearly every request is served: callers retry the rest.
RECOVERED_SHARE = 0.95


class Attempt(NamedTuple):
    """One request of a caller.

    Attributes:
        request_id: Its id.
        kind: ``sweep``, ``fetch``, ``book`` or ``probe``.
        instance: Who was asked.
        sent_at: Seconds since the epoch.
        status: The answer's status; 0 without a whole answer.
        stamps: Signatures named in the answer.
        missing: Shards that the answer says are left out.
        signature: The signature of an answer that was passed on.
        body: The answer's body.
        incarnation: Which start of the instance was asked.
        version: The version whose route was probed.
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
    """A searcher that said it drains, and when the store had taken that."""

    replica: str
    since: float
    until: float


def wrong_answers(attempts: Iterable[Attempt], shards: Sequence[str]) -> list[str]:
    """Return successes that are not the right answer to their own request."""
    found = []
    for attempt in attempts:
        if attempt.status != 200:
            continue
        if attempt.kind == "sweep":
            problem = _sweep_problem(attempt, shards)
        else:
            problem = _single_problem(attempt)
        if problem:
            found.append(f"{attempt.kind} {attempt.request_id}: {problem}")
    return found


def _sweep_problem(attempt: Attempt, shards: Sequence[str]) -> str:
    parts = [stamp.split(".") for stamp in attempt.stamps]
    services = [part[0] for part in parts]
    if any(part[1] != attempt.request_id for part in parts):
        return "a part belongs to another request"
    if len(services) != len(set(services)) or not set(services) <= set(shards):
        return "its parts are not of distinct shards"
    if len(services) + attempt.missing != len(shards):
        return f"{len(services)} parts and {attempt.missing} missing"
    if len(services) < LEAST_COVERAGE * len(shards):
        return "less than the least coverage"
    records = [
        record
        for service in services
        for record in build_records(service, attempt.request_id)
    ]
    expected = b"".join(sorted(records, reverse=True)[:TOP_K])
    return "" if attempt.body == expected else "not the greatest records"


def _single_problem(attempt: Attempt) -> str:
    service, _, rest = attempt.signature.partition(".")
    if rest.partition(".")[0] != attempt.request_id:
        return "the signature is of another request"
    expected = b"".join(build_records(service, attempt.request_id))
    return "" if attempt.body == expected else "not the upstream's body"


def doubled_bookings(runs: Iterable[dict], attempts: Iterable[Attempt]) -> list[str]:
    """Return bookings that ran more than once."""
    bookings = {each.request_id for each in attempts if each.kind == "book"}
    counts = collections.Counter(run["request"] for run in runs)
    return sorted(each for each in bookings if counts[each] > 1)


def run_though_refused(runs: Iterable[dict], attempts: Iterable[Attempt]) -> list[str]:
    """Return bookings that ran though their caller was told that they had not."""
    ran = {run["request"] for run in runs}
    return sorted(
        attempt.request_id
        for attempt in attempts
        if attempt.kind == "book"
        and attempt.status in NOT_RUN_STATUSES
        and attempt.request_id in ran
    )


def work_after_drain(runs: Iterable[dict], drains: Iterable[Drain]) -> list[str]:
    """Return runs at searchers that had been draining for longer than allowed."""
    return [
        f"{run['request']} at {drain.replica}"
        for drain in drains
        for run in runs
        if run["replica"] == drain.replica
        and drain.since + DRAIN_S < run["at"] < drain.until
    ]


def set_back_configurations(attempts: Iterable[Attempt]) -> list[str]:
    """Return probes of a version's route that was gone again in one incarnation."""
    known: set[tuple[str, int, int]] = set()
    found = []
    for attempt in sorted(attempts, key=lambda each: each.sent_at):
        if attempt.kind != "probe":
            continue
        key = (attempt.instance, attempt.incarnation, attempt.version)
        if attempt.status == 404 and key in known:
            found.append(f"version {attempt.version} at {attempt.instance}")
        elif attempt.status and attempt.status != 404:
            known.add(key)
    return found


def unrecovered(attempts: Sequence[Attempt]) -> list[str]:
    """Return what is wrong with the requests after the last fault."""
    served = sum(attempt.status == 200 for attempt in attempts)
    if attempts and served >= RECOVERED_SHARE * len(attempts):
        return []
    return [f"{served} of {len(attempts)} requests served after the last fault"]
