"""Routing of legs to the holders of connections, and of results back to requests."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.protocol.peer import (
    CancelLegs,
    LegAssignment,
    LegBatch,
    LegResults,
)
from almondspool.protocol.upstream import LegResult
from almondspool.state.members import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from almondspool.logs import EventLog
    from almondspool.state.document import Upstream
    from almondspool.state.members import Member, View


# From this many legs in a batch on, forwarding them costs hardly more than their
# exchanges do, and relieves the coordinating instance of nearly all of that work.
WIDE_BATCH_LEGS = 32


class RoutedLeg(NamedTuple):
    """A leg in flight.

    Attributes:
        holder: The instance that runs it over its connections.
        upstream_id: The upstream.
        on_result: Called with its result.
    """

    holder: str
    upstream_id: str
    on_result: Callable[[LegResult], None]


class HolderChoice(NamedTuple):
    """The instance chosen to run a leg, and why."""

    instance: str
    reason: str


class LegTransport(NamedTuple):
    """Calls that pass legs to the local leg dispatcher or to peers.

    Attributes:
        submit_local: Submits a batch; the function passed with it gets the results.
        cancel_local: Cancels legs by id.
        send_peer: Sends a message to an instance; returns whether it was queued.
    """

    submit_local: Callable[[LegBatch, Callable[[LegResults], None]], None]
    cancel_local: Callable[[tuple[str, ...]], None]
    send_peer: Callable[[str, NamedTuple], bool]


class LegRouter:
    """Tracks the legs in flight of one instance's requests.

    Every leg passed to send() is answered by exactly one call of its on_result().
    """

    def __init__(
        self,
        instance: str,
        transport: LegTransport,
        holders_of: Callable[[Upstream], tuple[str, ...]],
        view: Callable[[], View],
        log: EventLog,
        log_decisions: bool = True,
    ) -> None:
        """Initialize without legs in flight.

        Args:
            instance: This instance.
            transport: Calls to the local leg dispatcher and to peers.
            holders_of: Returns the instances with connections to an upstream, best
                first.
            view: Returns the current membership.
            log: The event log.
            log_decisions: Whether each batch is logged.
        """
        self._instance = instance
        self._transport = transport
        self._holders_of = holders_of
        self._view = view
        self._log = log
        self._log_decisions = log_decisions
        self._routed_by_leg_id: dict[str, RoutedLeg] = {}
        self._batch_numbers = itertools.count(1)

    def send(
        self,
        priority: int,
        pairs: Iterable[tuple[Upstream, LegAssignment]],
        on_result: Callable[[LegResult], None],
    ) -> None:
        """Send legs, one batch for each holder.

        Args:
            priority: Priority class of the request.
            pairs: Each leg with the upstream that should run it.
            on_result: Called once with the result of each leg.
        """
        pairs = tuple(pairs)
        assignments_by_choice: dict[HolderChoice, list[LegAssignment]] = {}
        unroutable: list[LegAssignment] = []
        choice_by_upstream_id = self._choose_holders(pairs)
        for upstream, assignment in pairs:
            choice = choice_by_upstream_id[upstream.upstream_id]
            if choice is None:
                unroutable.append(assignment)
                continue
            routed = RoutedLeg(choice.instance, upstream.upstream_id, on_result)
            self._routed_by_leg_id[assignment.leg.leg_id] = routed
            assignments_by_choice.setdefault(choice, []).append(assignment)
        for assignment in unroutable:
            on_result(_not_sent(assignment, "no live holder of connections"))
        for choice, assignments in assignments_by_choice.items():
            self._send_batch(choice, priority, assignments)

    def cancel(self, leg_ids: Iterable[str]) -> None:
        """Cancel legs at their holders; their results are no longer passed on."""
        ids_by_holder: dict[str, list[str]] = {}
        for leg_id in leg_ids:
            routed = self._routed_by_leg_id.pop(leg_id, None)
            if routed is not None:
                ids_by_holder.setdefault(routed.holder, []).append(leg_id)
        for holder, ids in ids_by_holder.items():
            if holder == self._instance:
                self._transport.cancel_local(tuple(ids))
            else:
                self._transport.send_peer(holder, CancelLegs(tuple(ids)))

    def on_results(self, results: LegResults) -> None:
        """Pass results to their requests; late and unknown ones are dropped."""
        for result in results.results:
            routed = self._routed_by_leg_id.pop(result.leg_id, None)
            if routed is None:
                self._log.write("leg.unexpected", leg=result.leg_id)
                continue
            routed.on_result(result)

    def on_channel_down(self, instance: str) -> None:
        """Fail the legs sent to a peer whose channel closed; they may have run."""
        lost = [
            (leg_id, routed)
            for leg_id, routed in self._routed_by_leg_id.items()
            if routed.holder == instance
        ]
        for leg_id, routed in lost:
            del self._routed_by_leg_id[leg_id]
            routed.on_result(
                LegResult(
                    leg_id,
                    ResultCode.LEG_NO_HOLDER,
                    upstream_id=routed.upstream_id,
                    detail=f"channel to instance {instance} closed",
                    was_run=True,
                )
            )

    def _choose_holders(
        self, pairs: Sequence[tuple[Upstream, LegAssignment]]
    ) -> dict[str, HolderChoice | None]:
        members = self._view().members_by_instance
        upstreams_by_id = {upstream.upstream_id: upstream for upstream, _ in pairs}
        choices = {
            upstream_id: self._choose_holder(upstream, members)
            for upstream_id, upstream in upstreams_by_id.items()
        }
        if len(pairs) >= WIDE_BATCH_LEGS:
            choices.update(
                self._choose_remote_holders(choices, upstreams_by_id, members)
            )
        return choices

    def _choose_remote_holders(
        self,
        choices: Mapping[str, HolderChoice | None],
        upstreams_by_id: Mapping[str, Upstream],
        members: Mapping[str, Member],
    ) -> dict[str, HolderChoice]:
        """Return remote holders for upstreams to which this instance holds connections.

        Only holders that get a wide batch in total are returned. The coordinating
        instance of a wide request is the busiest one, so its legs are moved to them.
        When the upstream is in another zone, a leg forwarded to a holder in that zone
        crosses no more zones than a direct leg does.
        """
        legs_by_holder: collections.Counter[str] = collections.Counter()
        remote_choices: dict[str, HolderChoice] = {}
        for upstream_id, choice in choices.items():
            if choice is None:
                continue
            remote = None
            if choice.instance == self._instance:
                remote = self._choose_remote_holder(
                    upstreams_by_id[upstream_id], members
                )
            if remote is not None:
                remote_choices[upstream_id] = remote
            legs_by_holder[(remote or choice).instance] += 1
        return {
            upstream_id: remote
            for upstream_id, remote in remote_choices.items()
            if legs_by_holder[remote.instance] >= WIDE_BATCH_LEGS
        }

    def _choose_remote_holder(
        self, upstream: Upstream, members: Mapping[str, Member]
    ) -> HolderChoice | None:
        if members[self._instance].zone == upstream.zone:
            return None
        for holder in self._holders_of(upstream):
            member = members.get(holder)
            if (
                member is not None
                and member.status == MemberStatus.ALIVE
                and member.zone == upstream.zone
            ):
                return HolderChoice(holder, "wide batch to the upstream's zone")
        return None

    def _choose_holder(
        self, upstream: Upstream, members: Mapping[str, Member]
    ) -> HolderChoice | None:
        usable = [
            holder
            for holder in self._holders_of(upstream)
            if holder in members and members[holder].status != MemberStatus.DEAD
        ]
        if self._instance in usable:
            return HolderChoice(self._instance, "own connections")
        # A suspect or leaving holder may still run legs, so it is better than none.
        alive = [
            holder for holder in usable if members[holder].status == MemberStatus.ALIVE
        ]
        for holder in alive:
            if members[holder].zone == upstream.zone:
                return HolderChoice(holder, "holder in the upstream's zone")
        if alive:
            return HolderChoice(alive[0], "first live holder")
        if usable:
            return HolderChoice(usable[0], "no live holder")
        return None

    def _send_batch(
        self, choice: HolderChoice, priority: int, assignments: list[LegAssignment]
    ) -> None:
        holder = choice.instance
        batch_id = f"{self._instance}.{next(self._batch_numbers)}"
        batch = LegBatch(batch_id, int(priority), tuple(assignments))
        if self._log_decisions:
            self._log.write(
                "legs.sent",
                batch=batch_id,
                holder=holder,
                legs=len(assignments),
                reason=choice.reason,
            )
        if holder == self._instance:
            self._transport.submit_local(batch, self.on_results)
        elif not self._transport.send_peer(holder, batch):
            refused = tuple(
                _not_sent(assignment, f"queue to instance {holder} is full")
                for assignment in assignments
            )
            self.on_results(LegResults(refused))


def _not_sent(assignment: LegAssignment, detail: str) -> LegResult:
    return LegResult(
        assignment.leg.leg_id,
        ResultCode.LEG_NO_HOLDER,
        shard=assignment.leg.shard,
        upstream_id=assignment.upstream_id,
        detail=detail,
        was_run=False,
    )
