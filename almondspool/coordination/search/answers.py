"""Assembly of answers: coverage, merged records and the result code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondspool.codes import ResultCode, describe_code
from almondspool.protocol.caller import (
    NO_COVERAGE,
    Coverage,
    MissingShard,
    Record,
    SearchAnswer,
    ShardOutcome,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from almondspool.coordination.search.shard_run import ShardRun
    from almondspool.protocol.caller import SearchRequest

# Minimum retry delays; the jitter adds up to the same again.
RETRY_AFTER_PARTIAL_MS = 200
RETRY_AFTER_REFUSED_MS = 1000

_NEVER_RETRY_CODES = frozenset(
    {
        ResultCode.OK,
        ResultCode.FAILED,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.SERVICE_UNKNOWN,
        ResultCode.SHARD_UNKNOWN,
        ResultCode.DEADLINE_EXPIRED,
        ResultCode.REQUEST_STALE,
        ResultCode.FIELD_INVALID,
    }
)


def count_coverage(runs_by_shard: Mapping[str, ShardRun]) -> Coverage:
    """Count the settled shards of a request by outcome and list the missing ones."""
    counts = dict.fromkeys(ShardOutcome, 0)
    missing = []
    for shard_id, run in sorted(runs_by_shard.items()):
        counts[run.outcome] += 1
        if run.outcome != ShardOutcome.ANSWERED:
            missing.append(MissingShard(shard_id, run.outcome, run.code))
    return Coverage(
        total=len(runs_by_shard),
        answered=counts[ShardOutcome.ANSWERED],
        late=counts[ShardOutcome.LATE],
        failed=counts[ShardOutcome.FAILED],
        not_sent=counts[ShardOutcome.NOT_SENT],
        missing=tuple(missing),
    )


def merge_records(runs_by_shard: Mapping[str, ShardRun]) -> tuple[Record, ...]:
    """Return the records of all shards ordered by id, without duplicate ids.

    During repartitioning a record can be in two shards of one snapshot; the copy from
    the shard with the lowest id is kept.
    """
    records_by_id: dict[str, Record] = {}
    for _, run in sorted(runs_by_shard.items()):
        for record in run.records:
            records_by_id.setdefault(record.record_id, record)
    return tuple(record for _, record in sorted(records_by_id.items()))


def _not_run_code(codes: Iterable[ResultCode]) -> ResultCode:
    seen = set(codes)
    if ResultCode.LEG_SUSPECT in seen:
        return ResultCode.NOT_RUN_QUARANTINED
    if ResultCode.LEG_SHED in seen:
        return ResultCode.NOT_RUN_OVERLOADED
    return ResultCode.NOT_RUN_NO_UPSTREAM


def _non_idempotent_code(run: ShardRun) -> ResultCode:
    if run.code == ResultCode.LEG_FAILED:
        return ResultCode.FAILED
    return ResultCode.OUTCOME_UNKNOWN


def retry_after_ms(code: ResultCode, rng: random.Random) -> int:
    """Return the retry delay in milliseconds, or 0 if the code calls for no retry.

    Jitter spreads the retries of requests that failed together.
    """
    if code in _NEVER_RETRY_CODES:
        return 0
    base = RETRY_AFTER_REFUSED_MS
    if code in (ResultCode.PARTIAL, ResultCode.STILL_RUNNING):
        base = RETRY_AFTER_PARTIAL_MS
    return base + rng.randrange(base)


def refuse(
    request: SearchRequest,
    code: ResultCode,
    instance: str,
    retry_after: int = 0,
    detail: str = "",
) -> SearchAnswer:
    """Return the answer to a request that is refused before any leg is sent.

    Args:
        request: The refused request.
        code: Why it was refused.
        instance: The refusing instance.
        retry_after: Delay after which the caller should retry, in milliseconds.
        detail: What was wrong, with the names involved.
    """
    return SearchAnswer(
        request_id=request.request_id,
        code=code,
        coverage=NO_COVERAGE,
        retry_after_ms=retry_after,
        message=detail or describe_code(code),
        instance=instance,
    )


class AnswerBuilder:
    """Builds the answer to one request, with its timing and retry delay."""

    def __init__(
        self,
        request: SearchRequest,
        instance: str,
        generation: int,
        arrived_at: float,
        rng: random.Random,
    ) -> None:
        """Initialize for one request.

        Args:
            request: The caller's request.
            instance: The answering instance.
            generation: The document generation in force at arrival.
            arrived_at: When the request arrived, in monotonic seconds.
            rng: Source of the jitter of retry delays.
        """
        self._request = request
        self._instance = instance
        self._generation = generation
        self._arrived_at = arrived_at
        self._rng = rng

    def build_without_coverage(
        self, now: float, code: ResultCode, detail: str = ""
    ) -> SearchAnswer:
        """Return an answer that counts no shards and has no records.

        Args:
            now: Monotonic seconds.
            code: Result code of the request.
            detail: What was wrong, with the names involved; empty for the description
                of the code.
        """
        retry_after = retry_after_ms(code, self._rng)
        answer = refuse(self._request, code, self._instance, retry_after, detail)
        return answer._replace(
            generation=self._generation, elapsed_ms=(now - self._arrived_at) * 1000
        )

    def build(
        self,
        now: float,
        snapshot: int,
        runs_by_shard: Mapping[str, ShardRun],
        may_have_run_before: bool,
    ) -> SearchAnswer:
        """Return the answer to a request whose shards are all settled.

        Args:
            now: Monotonic seconds.
            snapshot: The snapshot that the shards were searched on.
            runs_by_shard: The settled shards by id.
            may_have_run_before: Whether legs may have run on a snapshot that was
                abandoned by a restart.
        """
        runs = runs_by_shard.values()
        may_have_run = may_have_run_before or any(run.may_have_run for run in runs)
        coverage = count_coverage(runs_by_shard)
        code = _result_code(self._request, coverage, runs_by_shard, may_have_run)
        is_internal_error = code == ResultCode.INTERNAL
        return self.build_without_coverage(now, code)._replace(
            snapshot=snapshot if may_have_run else 0,
            coverage=coverage,
            records=() if is_internal_error else merge_records(runs_by_shard),
        )


def _result_code(
    request: SearchRequest,
    coverage: Coverage,
    runs_by_shard: Mapping[str, ShardRun],
    may_have_run: bool,
) -> ResultCode:
    if not coverage.is_consistent() or coverage.total != len(runs_by_shard):
        return ResultCode.INTERNAL
    if coverage.answered == coverage.total:
        return ResultCode.OK
    runs = runs_by_shard.values()
    if not may_have_run:
        return _not_run_code(run.code for run in runs)
    if request.idempotent:
        return ResultCode.PARTIAL
    return _non_idempotent_code(next(iter(runs)))
