"""Accepted configuration document: teams, services, upstreams and snapshots."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class Priority(enum.IntEnum):
    """Priority class of a caller; a lower value is served first."""

    URGENT = 0
    NORMAL = 1
    BACKGROUND = 2


class Upstream(NamedTuple):
    """A searcher process.

    Attributes:
        upstream_id: Unique name within the document.
        address: ``ip:port``.
        zone: Availability zone.
        slots: Number of legs that it runs concurrently.
        max_connections: Limit on connections from all instances together.
        connect_cost_ms: Time to open a new connection, in milliseconds.
    """

    upstream_id: str
    address: str
    zone: str
    slots: int
    max_connections: int
    connect_cost_ms: float = 0.0


class Service(NamedTuple):
    """A group of upstreams that serves shards of one team's index."""

    service_id: str
    upstream_ids: tuple[str, ...]


class Shard(NamedTuple):
    """A partition of the index and the upstreams that hold a replica of it."""

    shard_id: str
    service_id: str
    replicas: tuple[str, ...]


class Snapshot(NamedTuple):
    """One index version with its shard map."""

    snapshot_id: int
    shards_by_id: dict[str, Shard]


class Section(NamedTuple):
    """One team's section of the document.

    Attributes:
        team: The team's name, unique within the document.
        priority: Default priority class, for callers not in priority_by_caller.
        deadline_ms: Default deadline of a request, in milliseconds.
        priority_by_caller: Priority class by caller name.
        services_by_id: Services by id.
        upstreams_by_id: Upstreams by id.
        snapshots_by_id: Snapshots by number; new requests use the highest.
        drained: Ids of the upstreams that receive no new work.
    """

    team: str
    priority: Priority
    deadline_ms: int
    priority_by_caller: dict[str, Priority]
    services_by_id: dict[str, Service]
    upstreams_by_id: dict[str, Upstream]
    snapshots_by_id: dict[int, Snapshot]
    drained: frozenset[str] = frozenset()

    def newest_snapshot(self) -> Snapshot:
        """Return the snapshot with the highest number."""
        return self.snapshots_by_id[max(self.snapshots_by_id)]


class Document(NamedTuple):
    """The accepted document: all sections at one generation.

    Attributes:
        generation: Incremented by each accepted change; 0 before the first.
        sections_by_team: Sections by team.
    """

    generation: int
    sections_by_team: dict[str, Section]

    def upstreams_by_id(self) -> dict[str, Upstream]:
        """Return the upstreams of all sections by id."""
        return {
            upstream_id: upstream
            for section in self.sections_by_team.values()
            for upstream_id, upstream in section.upstreams_by_id.items()
        }

    def select_upstreams(self, upstream_ids: Iterable[str]) -> dict[str, Upstream]:
        """Return the given upstreams by id, leaving out those not in the document."""
        upstreams_by_id = self.upstreams_by_id()
        return {
            upstream_id: upstreams_by_id[upstream_id]
            for upstream_id in upstream_ids
            if upstream_id in upstreams_by_id
        }


EMPTY_DOCUMENT = Document(0, {})
