"""State of one shard within one request, and checks of its results."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.errors import RequestError
from almondspool.protocol.caller import ShardOutcome

if TYPE_CHECKING:
    from almondspool.protocol.caller import Record, SearchRequest
    from almondspool.protocol.upstream import LegResult
    from almondspool.state.document import Section, Shard, Snapshot

# A leg that failed with one of these codes and was not run never reached an upstream.
_UNREACHED_CODES = frozenset(
    {ResultCode.LEG_REFUSED, ResultCode.LEG_NO_HOLDER, ResultCode.LEG_DRAINING}
)


class OpenLeg(NamedTuple):
    """A leg that was sent and has no result yet.

    Attributes:
        leg_id: The leg.
        upstream_id: Where it runs.
        sent_at: Monotonic seconds.
        is_after_cut_off: Whether another leg of the request was cut off before it was
            sent.
    """

    leg_id: str
    upstream_id: str
    sent_at: float
    is_after_cut_off: bool


class ShardRun:
    """The legs of one shard and, once it is settled, its outcome.

    Attributes:
        shard: The shard.
        open_by_leg: Legs in flight by leg id.
        tried_upstream_ids: Upstreams that were sent a leg.
        attempts: Legs sent, including hedges.
        unreached_attempts: Legs sent that never reached an upstream.
        permits: Legs that the budget counted, including the first one.
        hedge_delay_s: Delay before a hedge and between refused attempts, in seconds.
        hedge_at: When the leg in flight may be hedged, in monotonic seconds.
        budget_waits: How often a retry waited because the budget refused it.
        is_hedged: Whether a hedge was sent.
        was_hedge_denied: Whether the budget refused a hedge.
        may_have_run: Whether an upstream may have run the shard's query.
        outcome: None until the shard is settled.
        code: Result code of the last failure, LEG_NO_HOLDER before the first; OK once
            answered.
        records: Records of the answer; empty until then.
    """

    __slots__ = (
        "attempts",
        "budget_waits",
        "code",
        "hedge_at",
        "hedge_delay_s",
        "is_hedged",
        "may_have_run",
        "open_by_leg",
        "outcome",
        "permits",
        "records",
        "shard",
        "tried_upstream_ids",
        "unreached_attempts",
        "was_hedge_denied",
    )

    def __init__(self, shard: Shard) -> None:
        """Initialize without legs."""
        self.shard = shard
        self.open_by_leg: dict[str, OpenLeg] = {}
        self.tried_upstream_ids: set[str] = set()
        self.attempts = 0
        self.unreached_attempts = 0
        self.permits = 0
        self.hedge_delay_s = 0.0
        self.hedge_at = 0.0
        self.budget_waits = 0
        self.is_hedged = False
        self.was_hedge_denied = False
        self.may_have_run = False
        self.outcome: ShardOutcome | None = None
        self.code = ResultCode.LEG_NO_HOLDER
        self.records: tuple[Record, ...] = ()

    @property
    def reached_attempts(self) -> int:
        """Return how many legs have reached an upstream or still may."""
        return self.attempts - self.unreached_attempts

    @property
    def has_unused_permit(self) -> bool:
        """Return whether the budget counted a leg that never reached an upstream."""
        return self.reached_attempts < self.permits

    def record_sent(self, leg: OpenLeg) -> None:
        """Record a leg in flight."""
        self.open_by_leg[leg.leg_id] = leg
        self.tried_upstream_ids.add(leg.upstream_id)
        self.attempts += 1

    def record_failure(self, code: ResultCode, was_run: bool) -> None:
        """Record the failure of a leg."""
        self.code = code
        self.may_have_run = self.may_have_run or was_run
        if code in _UNREACHED_CODES and not was_run:
            self.unreached_attempts += 1

    def settle_answered(self, records: tuple[Record, ...]) -> None:
        """Settle the shard with its records."""
        self.may_have_run = True
        self.outcome = ShardOutcome.ANSWERED
        self.code = ResultCode.OK
        self.records = records

    def settle_missing(self) -> None:
        """Settle the shard as failed, or as not sent if no upstream ran it."""
        outcome = ShardOutcome.FAILED if self.may_have_run else ShardOutcome.NOT_SENT
        self.outcome = outcome

    def settle_late(self) -> None:
        """Settle the shard at the deadline: late if a leg is still in flight."""
        if not self.open_by_leg:
            self.settle_missing()
            return
        self.may_have_run = True
        self.outcome = ShardOutcome.LATE
        self.code = ResultCode.LEG_TIMEOUT


class CheckedResult(NamedTuple):
    """The code of a leg after its reply was checked.

    Attributes:
        code: The reported code, or another one if a reply with OK belongs to another
            shard, upstream or snapshot.
        was_run: Whether the upstream may have run the leg.
        discard_reason: Reason under which such a reply is counted, or empty.
    """

    code: ResultCode
    was_run: bool
    discard_reason: str = ""


def check_result(
    run: ShardRun, leg: OpenLeg, snapshot: int, result: LegResult
) -> CheckedResult:
    """Check that a reply matches its leg's shard, upstream and snapshot."""
    if result.code != ResultCode.OK:
        return CheckedResult(ResultCode(result.code), result.was_run)
    if result.shard != run.shard.shard_id:
        return CheckedResult(ResultCode.LEG_WRONG_REQUEST, True, "wrong_shard")
    if result.upstream_id not in ("", leg.upstream_id):
        return CheckedResult(ResultCode.LEG_WRONG_REQUEST, True, "wrong_upstream")
    if result.snapshot != snapshot:
        return CheckedResult(ResultCode.LEG_WRONG_SNAPSHOT, True, "wrong_snapshot")
    return CheckedResult(ResultCode.OK, True)


def select_shards(
    request: SearchRequest, section: Section, snapshot: Snapshot
) -> tuple[Shard, ...]:
    """Return the shards of a snapshot that a request covers, ordered by id.

    Raises:
        RequestError: With SERVICE_UNKNOWN, SHARD_UNKNOWN or FIELD_INVALID.
    """
    if not request.idempotent and not request.shard:
        raise RequestError(
            "a non-idempotent request must name its shard", ResultCode.FIELD_INVALID
        )
    unknown = set(request.services) - section.services_by_id.keys()
    if unknown:
        names = ", ".join(sorted(unknown))
        raise RequestError(
            f"service {names} is not in the section of team {section.team}",
            ResultCode.SERVICE_UNKNOWN,
        )
    if request.shard:
        return (_select_shard(request, snapshot),)
    services = set(request.services)
    return tuple(
        shard
        for _, shard in sorted(snapshot.shards_by_id.items())
        if not services or shard.service_id in services
    )


def _select_shard(request: SearchRequest, snapshot: Snapshot) -> Shard:
    shard = snapshot.shards_by_id.get(request.shard)
    if shard is None:
        raise RequestError(
            f"shard {request.shard} is not in snapshot {snapshot.snapshot_id}",
            ResultCode.SHARD_UNKNOWN,
        )
    return shard


def has_newer_snapshot(section: Section | None, snapshot: int) -> bool:
    """Return whether a section has a newer snapshot than the given one."""
    if section is None or not section.snapshots_by_id:
        return False
    return section.newest_snapshot().snapshot_id > snapshot
