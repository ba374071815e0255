"""Example deployments: their searchers, records and configuration sections.

They are a demo, the regions perth and tx-central at their present size, and wide, which
has many services, for measurements of searches over many searchers.
"""

from __future__ import annotations

import string
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from almondspool.standins.records import GUINEA_PIGS, SUMP_ALARMS, Dataset
from almondspool.standins.searcher_settings import SearcherSettings

LOOPBACK = "127.0.0.1"
DEFAULT_SEED = 7
DEFAULT_RECORDS_PER_SERVICE = 120
REPLICAS_PER_SHARD = 2


class TeamPlan(NamedTuple):
    """Size and limits of one team's part of a deployment.

    Attributes:
        team: The team.
        priority: ``urgent``, ``normal`` or ``background``.
        deadline_ms: Deadline of requests that give none, in milliseconds.
        service_count: Number of services.
        searchers_per_service: Number of searchers of each service.
        slots: Number of legs that a searcher runs at a time.
        connections: Number of connections that a searcher accepts.
        connect_cost_ms: Delay before the first reply on a connection, in milliseconds.
        priority_by_caller: Priorities of callers that differ from the team's.
    """

    team: str
    priority: str
    deadline_ms: int
    service_count: int
    searchers_per_service: int
    slots: int
    connections: int
    connect_cost_ms: float
    priority_by_caller: dict[str, str] = {}


class DeploymentPlan(NamedTuple):
    """Zones, records and teams of a deployment.

    Attributes:
        zones: Its availability zones.
        kind: The kind of its records: SUMP_ALARMS or GUINEA_PIGS.
        teams: The plan of each team.
    """

    zones: tuple[str, ...]
    kind: str
    teams: tuple[TeamPlan, ...]


class Deployment(NamedTuple):
    """A planned deployment with the addresses of its searchers.

    Attributes:
        name: Its name.
        zones: Its availability zones.
        datasets_by_team: Specification of each team's records.
        searchers_by_id: Settings of each searcher by upstream id.
        section_texts_by_team: The YAML text of each team's configuration section.
    """

    name: str
    zones: tuple[str, ...]
    datasets_by_team: dict[str, Dataset]
    searchers_by_id: dict[str, SearcherSettings]
    section_texts_by_team: dict[str, str]


PERTH_ZONES = ("perth-north", "perth-south", "perth-hills")
FLOOD_CALLERS = {"flood-desk": "urgent", "batch-export": "background"}
TX_CENTRAL_ZONES = ("austin-a", "waco-b", "sanantonio-c")

PLANS_BY_NAME: dict[str, DeploymentPlan] = {
    "demo": DeploymentPlan(
        PERTH_ZONES,
        SUMP_ALARMS,
        (
            TeamPlan("alert-desk", "urgent", 1000, 2, 3, 2, 25, 6, FLOOD_CALLERS),
            TeamPlan("member-records", "normal", 1000, 1, 3, 2, 110, 1),
        ),
    ),
    "perth": DeploymentPlan(
        PERTH_ZONES,
        SUMP_ALARMS,
        (
            TeamPlan("alert-desk", "urgent", 160, 10, 3, 2, 25, 6, FLOOD_CALLERS),
            TeamPlan("insurer-portal", "normal", 400, 15, 3, 2, 25, 6),
            TeamPlan("member-records", "normal", 250, 1, 6, 2, 110, 1),
            TeamPlan("council-audit", "background", 1000, 1, 3, 2, 110, 1),
        ),
    ),
    "tx-central": DeploymentPlan(
        TX_CENTRAL_ZONES,
        GUINEA_PIGS,
        (
            TeamPlan("match-portal", "normal", 250, 10, 3, 2, 25, 6),
            TeamPlan("vet-scheduler", "urgent", 250, 15, 3, 2, 25, 6),
            TeamPlan("shelter-desk", "normal", 250, 1, 6, 3, 40, 1),
            TeamPlan("donor-ledger", "background", 1000, 1, 3, 3, 40, 1),
        ),
    ),
    "wide": DeploymentPlan(
        PERTH_ZONES,
        SUMP_ALARMS,
        (TeamPlan("alert-desk", "urgent", 1000, 210, 3, 2, 25, 6, FLOOD_CALLERS),),
    ),
}


def count_searchers(plan: DeploymentPlan) -> int:
    """Return the number of searchers of a plan; each needs a port."""
    return sum(team.service_count * team.searchers_per_service for team in plan.teams)


def build_deployment(
    name: str,
    base_port: int,
    *,
    snapshots: int = 2,
    repartition_at: int = 0,
    seed: int = DEFAULT_SEED,
    records_per_service: int = DEFAULT_RECORDS_PER_SERVICE,
    service_time_ms: float = 3.0,
    cold_start_s: float = 0.0,
) -> Deployment:
    """Build a named deployment on consecutive loopback ports.

    Args:
        name: A key of PLANS_BY_NAME.
        base_port: Port of the first searcher.
        snapshots: Number of snapshots, which are numbered from 1.
        repartition_at: The snapshot from which each service has one shard more; 0
            for none.
        seed: Seed of the records.
        records_per_service: Records of a service in snapshot 1.
        service_time_ms: Mean service time of a leg, in milliseconds.
        cold_start_s: Time from a searcher's start until it is warm, in seconds.
    """
    plan = PLANS_BY_NAME[name]
    datasets_by_team: dict[str, Dataset] = {}
    searchers_by_id: dict[str, SearcherSettings] = {}
    section_texts_by_team: dict[str, str] = {}
    for team in plan.teams:
        dataset = Dataset(
            team=team.team,
            kind=plan.kind,
            seed=seed,
            records_per_service=records_per_service,
            service_ids=_service_ids(team),
            shards_by_snapshot=_shards_by_snapshot(team, snapshots, repartition_at),
        )
        first_port = base_port + len(searchers_by_id)
        searchers = _build_searchers(
            team, dataset, plan.zones, first_port, service_time_ms, cold_start_s
        )
        datasets_by_team[team.team] = dataset
        searchers_by_id.update((item.upstream_id, item) for item in searchers)
        section_texts_by_team[team.team] = section_text(team, dataset, searchers)
    return Deployment(
        name, plan.zones, datasets_by_team, searchers_by_id, section_texts_by_team
    )


def section_text(
    team: TeamPlan, dataset: Dataset, searchers: Sequence[SearcherSettings]
) -> str:
    """Return the YAML text of a team's section, with every snapshot of its dataset."""
    section = {
        "team": team.team,
        "priority": team.priority,
        "deadline_ms": team.deadline_ms,
        "callers": team.priority_by_caller,
        "services": _build_section_services(searchers),
        "snapshots": [
            {"id": snapshot, "shards": _build_section_shards(team, dataset, snapshot)}
            for snapshot in sorted(dataset.shards_by_snapshot)
        ],
    }
    return msgspec.yaml.encode(section).decode()


def replica_ids(
    service_id: str,
    searcher_count: int,
    shard_number: int,
    replicas: int = REPLICAS_PER_SHARD,
) -> tuple[str, ...]:
    """Return the ids of the upstreams that hold a shard.

    The first one rotates with the shard number, so that the shards are distributed
    evenly over the searchers.
    """
    return tuple(
        _upstream_id(service_id, (shard_number + offset) % searcher_count)
        for offset in range(min(replicas, searcher_count))
    )


def _service_ids(team: TeamPlan) -> tuple[str, ...]:
    return tuple(
        f"{team.team}-{number:02d}" for number in range(1, team.service_count + 1)
    )


def _upstream_id(service_id: str, number: int) -> str:
    return f"{service_id}-{string.ascii_lowercase[number]}"


def _service_id_of(upstream_id: str) -> str:
    return upstream_id.rpartition("-")[0]


def _shards_by_snapshot(
    team: TeamPlan, snapshots: int, repartition_at: int
) -> dict[int, int]:
    return {
        snapshot: team.searchers_per_service
        + (1 if 0 < repartition_at <= snapshot else 0)
        for snapshot in range(1, snapshots + 1)
    }


def _build_searchers(
    team: TeamPlan,
    dataset: Dataset,
    zones: Sequence[str],
    first_port: int,
    service_time_ms: float,
    cold_start_s: float,
) -> list[SearcherSettings]:
    searchers: list[SearcherSettings] = []
    for service_id in dataset.service_ids:
        for number in range(team.searchers_per_service):
            upstream_id = _upstream_id(service_id, number)
            searchers.append(
                SearcherSettings(
                    upstream_id=upstream_id,
                    team=team.team,
                    address=f"{LOOPBACK}:{first_port + len(searchers)}",
                    zone=zones[number % len(zones)],
                    slots=team.slots,
                    connections=team.connections,
                    connect_cost_ms=team.connect_cost_ms,
                    shards_by_snapshot=_held_shard_ids(team, dataset, upstream_id),
                    service_time_ms=service_time_ms,
                    cold_start_s=cold_start_s,
                )
            )
    return searchers


def _held_shard_ids(
    team: TeamPlan, dataset: Dataset, upstream_id: str
) -> dict[int, tuple[str, ...]]:
    service_id = _service_id_of(upstream_id)
    return {
        snapshot: tuple(
            shard_id
            for number, shard_id in enumerate(dataset.shard_ids(service_id, snapshot))
            if upstream_id
            in replica_ids(service_id, team.searchers_per_service, number)
        )
        for snapshot in dataset.shards_by_snapshot
    }


def _build_section_services(searchers: Sequence[SearcherSettings]) -> dict[str, object]:
    upstreams_by_service: dict[str, dict[str, object]] = {}
    for searcher in searchers:
        service_id = _service_id_of(searcher.upstream_id)
        upstreams = upstreams_by_service.setdefault(service_id, {})
        upstreams[searcher.upstream_id] = {
            "address": searcher.address,
            "zone": searcher.zone,
            "slots": searcher.slots,
            "connections": searcher.connections,
            "connect_cost_ms": searcher.connect_cost_ms,
        }
    return {
        service_id: {"upstreams": upstreams}
        for service_id, upstreams in upstreams_by_service.items()
    }


def _build_section_shards(
    team: TeamPlan, dataset: Dataset, snapshot: int
) -> list[dict[str, object]]:
    return [
        {
            "id": shard_id,
            "service": service_id,
            "replicas": list(
                replica_ids(service_id, team.searchers_per_service, number)
            ),
        }
        for service_id in dataset.service_ids
        for number, shard_id in enumerate(dataset.shard_ids(service_id, snapshot))
    ]
