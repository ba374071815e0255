"""Checks of answers against the data, and of result codes against the journal."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

from almondspool.standins.records import plain_scan
from tests.processes.caller import CODES_WITH_RECORDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.standins.launcher import Cluster
    from tests.processes.caller import Attempt


def wrong_answers(
    cluster: Cluster, attempts: Iterable[Attempt], *, require_complete: bool = False
) -> list[str]:
    """Return a description of each incorrect answer.

    A "not run" refusal is a problem only if each answer must be complete.

    Args:
        cluster: The cluster that gave the answers.
        attempts: Searches with their answers.
        require_complete: Whether each answer must contain the records of all shards.
    """
    problems = []
    for attempt in attempts:
        problem = _find_problem(cluster, attempt, require_complete)
        if problem:
            problems.append(f"{attempt.request['request_id']}: {problem}")
    return problems


def _find_problem(cluster: Cluster, attempt: Attempt, require_complete: bool) -> str:
    answer, request = attempt.answer, attempt.request
    if attempt.says_not_run() and not require_complete:
        return ""
    if attempt.code not in CODES_WITH_RECORDS or (
        require_complete and attempt.code != 0
    ):
        return f"code {attempt.code}: {answer.get('message')} {answer.get('coverage')}"
    if answer["request_id"] != request["request_id"]:
        return f"the answer is to request {answer['request_id']}"
    coverage = answer["coverage"]
    missing = tuple(sorted(item["shard"] for item in coverage["missing"]))
    counts = [coverage[key] for key in ("answered", "late", "failed", "not_sent")]
    if sum(counts) != coverage["total"] or coverage["total"] != _shard_count(
        cluster, request["team"], answer["snapshot"]
    ):
        return f"coverage {coverage} does not add up in snapshot {answer['snapshot']}"
    if (attempt.code == 0) != (not missing):
        return f"code {attempt.code} with missing shards {missing}"
    found = [(item["record_id"], item["fields"]) for item in answer["records"]]
    query = tuple(sorted(request["query"].items()))
    expected = _scan(_dataset(cluster, request), answer["snapshot"], query, missing)
    if found != [(item.record_id, item.fields) for item in expected]:
        common_count = len(
            {name for name, _ in found} & {item.record_id for item in expected}
        )
        return (
            f"{len(found)} records, but a scan of snapshot {answer['snapshot']} without"
            f" {missing} finds {len(expected)}; {common_count} ids are in both"
        )
    return ""


def _dataset(cluster: Cluster, request: dict[str, Any]) -> Any:
    return cluster.deployment.datasets_by_team[request["team"]]


def _shard_count(cluster: Cluster, team: str, snapshot: int) -> int:
    dataset = cluster.deployment.datasets_by_team[team]
    return len(dataset.service_ids) * dataset.shards_by_snapshot[snapshot]


@functools.lru_cache(maxsize=4096)
def _scan_cached(key: tuple, snapshot: int, query: tuple, missing: tuple) -> tuple:
    dataset = _DATASETS_BY_KEY[key]
    return plain_scan(dataset, snapshot, dict(query), missing_shards=missing)


# Datasets are not hashable, so the cache of scans uses their keys.
_DATASETS_BY_KEY: dict[tuple, Any] = {}


def _scan(dataset: Any, snapshot: int, query: tuple, missing: tuple) -> tuple:
    key = (dataset.team, tuple(sorted(dataset.shards_by_snapshot.items())))
    _DATASETS_BY_KEY[key] = dataset
    return _scan_cached(key, snapshot, query, missing)


def journal_entries(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the journal entries of the legs that searchers ran.

    Entries of different searcher processes are not in the order of time.
    """
    return [
        entry
        for control in cluster.searcher_controls()
        for entry in control.journal()["entries"]
        if "leg_id" in entry
    ]


def searchers_without_legs(cluster: Cluster, team: str) -> set[str]:
    """Return the ids of a team's searchers that have run no leg of the journal."""
    ids = {
        upstream_id
        for upstream_id, searcher in cluster.deployment.searchers_by_id.items()
        if searcher.team == team
    }
    return ids - {entry["upstream_id"] for entry in journal_entries(cluster)}


def requests_run_despite_refusal(
    cluster: Cluster, attempts: Iterable[Attempt]
) -> list[str]:
    """Return the requests that ran although every attempt got a "not run" code."""
    attempts_by_id: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        attempts_by_id.setdefault(attempt.request["request_id"], []).append(attempt)
    ran_ids = {entry["request_id"] for entry in journal_entries(cluster)}
    return sorted(
        f"{request_id}: {[attempt.code for attempt in group]}"
        for request_id, group in attempts_by_id.items()
        if all(attempt.says_not_run() for attempt in group) and request_id in ran_ids
    )


def duplicate_bookings(cluster: Cluster) -> list[str]:
    """Return the bookings that took effect more than once."""
    return sorted(
        f"{request_id} ran at {upstream_ids}"
        for request_id, upstream_ids in cluster.bookings_by_request_id().items()
        if len(upstream_ids) > 1
    )


def limit_violations(cluster: Cluster) -> list[str]:
    """Return the searchers that have had more connections than their limit."""
    limits = cluster.deployment.searchers_by_id
    return sorted(
        f"{upstream_id}: peak {counts['peak']}, violations {counts['violations']}"
        for upstream_id, counts in cluster.connections_by_upstream_id().items()
        if counts["violations"] or counts["peak"] > limits[upstream_id].connections
    )
