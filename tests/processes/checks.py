"""Checks of answers against the data, and of outcomes against what searchers ran."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from almondspool.standins.records import plain_scan
from tests.processes.caller import WITH_RECORDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.standins.launcher import Cluster
    from tests.processes.caller import Attempt


def wrong_answers(
    cluster: Cluster, attempts: Iterable[Attempt], *, whole: bool = False
) -> list[str]:
    """Return what is wrong with answers; empty if nothing is.

    A refusal that says "not run" is no answer.

    Args:
        cluster: Where they were given.
        attempts: Searches with their answers.
        whole: Whether each must be whole.
    """
    problems = []
    for attempt in attempts:
        problem = _problem_of(cluster, attempt, whole)
        if problem:
            problems.append(f"{attempt.request['request_id']}: {problem}")
    return problems


def _problem_of(cluster: Cluster, attempt: Attempt, whole: bool) -> str:
    answer, request = attempt.answer, attempt.request
    if attempt.is_not_run() and not whole:
        return ""
    if attempt.code not in WITH_RECORDS or (whole and attempt.code != 0):
        return f"code {attempt.code}: {answer.get('message')} {answer.get('coverage')}"
    if answer["request_id"] != request["request_id"]:
        return f"answers {answer['request_id']}"
    coverage = answer["coverage"]
    missing = tuple(sorted(item["shard"] for item in coverage["missing"]))
    counts = [coverage[key] for key in ("answered", "late", "failed", "not_sent")]
    if sum(counts) != coverage["total"] or coverage["total"] != _shards(
        cluster, request["team"], answer["snapshot"]
    ):
        return f"coverage {coverage} does not add up in snapshot {answer['snapshot']}"
    if (attempt.code == 0) != (not missing):
        return f"code {attempt.code} with missing shards {missing}"
    found = [(item["record_id"], item["fields"]) for item in answer["records"]]
    query = tuple(sorted(request["query"].items()))
    expected = _scan(_dataset(cluster, request), answer["snapshot"], query, missing)
    if found != [(item.record_id, item.fields) for item in expected]:
        same = len({name for name, _ in found} & {item.record_id for item in expected})
        return (
            f"{len(found)} records, the scan of snapshot {answer['snapshot']} without"
            f" {missing} has {len(expected)}, {same} ids in both"
        )
    return ""


def _dataset(cluster: Cluster, request: dict[str, Any]) -> Any:
    return cluster.deployment.datasets_by_team[request["team"]]


def _shards(cluster: Cluster, team: str, snapshot: int) -> int:
    dataset = cluster.deployment.datasets_by_team[team]
    return len(dataset.service_ids) * dataset.shards_by_snapshot[snapshot]


@functools.lru_cache(maxsize=4096)
def _scan_frozen(key: tuple, snapshot: int, query: tuple, missing: tuple) -> tuple:
    dataset = _DATASETS_BY_KEY[key]
    return plain_scan(dataset, snapshot, dict(query), missing_shards=missing)


_DATASETS_BY_KEY: dict[tuple, Any] = {}


def _scan(dataset: Any, snapshot: int, query: tuple, missing: tuple) -> tuple:
    key = (dataset.team, tuple(sorted(dataset.shards_by_snapshot.items())))
    _DATASETS_BY_KEY[key] = dataset
    return _scan_frozen(key, snapshot, query, missing)


def journal_entries(cluster: Cluster) -> list[dict[str, Any]]:
    """Return what every searcher ran, in no order across processes."""
    return [
        entry
        for control in cluster.searcher_controls()
        for entry in control.journal()["entries"]
        if "leg_id" in entry
    ]


def run_though_refused(cluster: Cluster, attempts: Iterable[Attempt]) -> list[str]:
    """Return the ids that ran although every attempt was answered "not run"."""
    codes_by_id: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        codes_by_id.setdefault(attempt.request["request_id"], []).append(attempt)
    ran_ids = {entry["request_id"] for entry in journal_entries(cluster)}
    return sorted(
        f"{request_id}: {[attempt.code for attempt in group]}"
        for request_id, group in codes_by_id.items()
        if all(attempt.is_not_run() for attempt in group) and request_id in ran_ids
    )


def doubled_bookings(cluster: Cluster) -> list[str]:
    """Return the non-idempotent requests that took effect more than once."""
    return sorted(
        f"{request_id} ran at {upstream_ids}"
        for request_id, upstream_ids in cluster.bookings_by_request_id().items()
        if len(upstream_ids) > 1
    )


def beyond_limit(cluster: Cluster) -> list[str]:
    """Return the searchers that saw more connections than their limit."""
    limits = cluster.deployment.searchers_by_id
    return sorted(
        f"{upstream_id}: peak {counts['peak']}, violations {counts['violations']}"
        for upstream_id, counts in cluster.connections_by_upstream_id().items()
        if counts["violations"] or counts["peak"] > limits[upstream_id].connections
    )
