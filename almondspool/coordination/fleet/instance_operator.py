"""Operator interface of one instance, answered from its tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.configuration.document_answers import (
    apply_section,
    describe_document,
    describe_section,
)
from almondspool.coordination.fleet.fleet_answers import describe_fleet
from almondspool.errors import RequestError
from almondspool.protocol.operator import (
    ApplyAnswer,
    BacklogRow,
    CandidateRow,
    DocumentAnswer,
    ExplainAnswer,
    FleetAnswer,
    MemberRow,
    OperatorInterface,
    SectionAnswer,
    StatusAnswer,
)
from almondspool.state.members import MemberStatus

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from almondspool.coordination.configuration.configuration_task import (
        ConfigurationTask,
    )
    from almondspool.coordination.upstreams.replicas import ReplicaChooser
    from almondspool.protocol.fleet import FleetStatus
    from almondspool.state.document import Section, Shard
    from almondspool.state.members import Member, View
    from almondspool.transport.timers import TimerService

_MS_PER_S = 1000


class OperatorDependencies(NamedTuple):
    """Components of the instance that the operator interface reads.

    Attributes:
        timers: Timer service.
        configuration: Returns the configuration task.
        view: Returns the membership.
        chooser: Returns the replica chooser.
        backlog: Returns the state of each queue.
        platform_calls: Returns the number of started platform calls by method.
        may_serve: Returns whether the instance's lease and document allow it to serve.
        is_leaving: Returns whether it is leaving.
        fleet: Returns the fleet status stored in the platform.
    """

    timers: TimerService
    configuration: Callable[[], ConfigurationTask]
    view: Callable[[], View]
    chooser: Callable[[], ReplicaChooser]
    backlog: Callable[[], list[BacklogRow]]
    platform_calls: Callable[[], Mapping[str, int]]
    may_serve: Callable[[], bool]
    is_leaving: Callable[[], bool]
    fleet: Callable[[], FleetStatus]


class InstanceOperator(OperatorInterface):
    """The operator interface of one instance."""

    def __init__(
        self, instance: str, zone: str, dependencies: OperatorDependencies
    ) -> None:
        """Create the interface of an instance in an availability zone."""
        self._instance = instance
        self._zone = zone
        self._dependencies = dependencies

    def document(self) -> DocumentAnswer:
        """Return the document in force."""
        return describe_document(self._dependencies.configuration().configuration)

    def section(self, team: str) -> SectionAnswer:
        """Return one section in force."""
        return describe_section(self._dependencies.configuration().configuration, team)

    def apply(self, team: str, text: bytes, base: str, token: str) -> ApplyAnswer:
        """Accept a section edited from a base digest, or return the reason why not."""
        return apply_section(
            self._dependencies.configuration(), team, text, base, token
        )

    def status(self) -> StatusAnswer:
        """Return the state of this instance and the members that it knows."""
        dependencies = self._dependencies
        task = dependencies.configuration()
        members = dependencies.view().members_by_instance
        return StatusAnswer(
            instance=self._instance,
            zone=self._zone,
            generation=task.document.generation,
            is_ready=dependencies.may_serve(),
            is_leaving=dependencies.is_leaving(),
            members=[_member_row(member) for _, member in sorted(members.items())],
            backlog=dependencies.backlog(),
            platform_calls=dict(dependencies.platform_calls()),
            refusals=dict(task.configuration.refusals.counts),
        )

    def fleet(self) -> FleetAnswer:
        """Return the fleet status that its holder wrote last."""
        status = self._dependencies.fleet()
        return describe_fleet(self._dependencies.timers.epoch_ms(), status)

    def explain(self, team: str, shard: str) -> ExplainAnswer:
        """Return the upstream that would run a shard now, with the reason.

        Raises:
            RequestError: With SERVICE_UNKNOWN if the team has no section, or
                SHARD_UNKNOWN if its newest snapshot has no such shard.
        """
        section = self._find_section(team)
        snapshot = section.newest_snapshot()
        found = snapshot.shards_by_id.get(shard)
        if found is None:
            raise RequestError(
                f"shard {shard!r} is not in snapshot {snapshot.snapshot_id}"
                f" of team {team!r}",
                ResultCode.SHARD_UNKNOWN,
            )
        now = self._dependencies.timers.now()
        choice = self._dependencies.chooser().choose(now, section, found.replicas)
        scores_by_id = {
            candidate.upstream_id: candidate.score_s for candidate in choice.candidates
        }
        return ExplainAnswer(
            team=team,
            shard=shard,
            snapshot=snapshot.snapshot_id,
            upstream=choice.upstream_id,
            reason=choice.reason,
            candidates=_candidate_rows(section, found, scores_by_id),
        )

    def _find_section(self, team: str) -> Section:
        sections_by_team = self._dependencies.configuration().document.sections_by_team
        if team not in sections_by_team:
            raise RequestError(
                f"no section of team {team!r} in the document",
                ResultCode.SERVICE_UNKNOWN,
            )
        return sections_by_team[team]


def _member_row(member: Member) -> MemberRow:
    return MemberRow(
        instance=member.instance,
        zone=member.zone,
        status=MemberStatus(member.status).name.lower(),
        generation=member.generation,
        caller_address=member.caller_address,
    )


def _candidate_rows(
    section: Section, shard: Shard, scores_by_id: Mapping[str, float]
) -> list[CandidateRow]:
    rows = []
    for upstream_id in shard.replicas:
        is_candidate = upstream_id in scores_by_id
        is_drained = upstream_id in section.drained
        excluded_state = "drained" if is_drained else "avoided"
        rows.append(
            CandidateRow(
                upstream=upstream_id,
                zone=section.upstreams_by_id[upstream_id].zone,
                score_ms=scores_by_id.get(upstream_id, 0.0) * _MS_PER_S,
                state="serving" if is_candidate else excluded_state,
            )
        )
    return rows
