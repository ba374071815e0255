"""Checks of the document beyond the schema of a section.

They cover references within a section, conflicts between the sections of two teams,
and the replacement of a section by a newer one.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from almondspool.protocol.document_model import SectionModel, ShardModel, SnapshotModel
from almondspool.state.document import Section, Upstream

Path = tuple[str | int, ...]


class DocumentProblem(NamedTuple):
    """One error in a document.

    Attributes:
        source: The file or section that contains it.
        line: 1-based line; 0 if the problem belongs to no line.
        path: Keys and list indexes from the section's root.
        message: The value found and the values allowed.
    """

    source: str
    line: int
    path: Path
    message: str

    def __str__(self) -> str:
        """Return ``source:line: path: message``."""
        location = f"{self.source}:{self.line}" if self.line else self.source
        parts = (location, format_path(self.path), self.message)
        return ": ".join(part for part in parts if part)


class SectionProblem(NamedTuple):
    """A problem in a section whose line is not yet known."""

    path: Path
    message: str


def format_path(path: Path) -> str:
    """Format a path as ``services.a.upstreams`` or ``snapshots[0].id``."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text


def check_section_model(model: SectionModel) -> Iterator[SectionProblem]:
    """Yield the problems that the schema does not cover, within one section."""
    service_by_upstream: dict[str, str] = {}
    upstream_by_address: dict[str, str] = {}
    for service_id, service in model.services.items():
        for upstream_id, upstream in service.upstreams.items():
            path = ("services", service_id, "upstreams", upstream_id)
            first_service_id = service_by_upstream.setdefault(upstream_id, service_id)
            if first_service_id != service_id:
                yield SectionProblem(
                    path,
                    f"upstream {upstream_id!r} is also in service {first_service_id!r}",
                )
            if upstream.connections < upstream.slots:
                yield SectionProblem(
                    (*path, "connections"),
                    f"{upstream.connections} is below slots {upstream.slots};"
                    " allowed is at least one connection for each slot",
                )
            first_upstream_id = upstream_by_address.setdefault(
                upstream.address, upstream_id
            )
            if first_upstream_id != upstream_id:
                yield SectionProblem(
                    (*path, "address"),
                    f"{upstream.address!r} is also the address of"
                    f" {first_upstream_id!r};"
                    " allowed is one upstream for each address",
                )
    yield from _check_drained(model, service_by_upstream)
    yield from _check_snapshots(model, service_by_upstream)


def _check_drained(
    model: SectionModel, service_by_upstream: Mapping[str, str]
) -> Iterator[SectionProblem]:
    for index, upstream_id in enumerate(model.drained):
        if upstream_id not in service_by_upstream:
            yield SectionProblem(
                ("drained", index),
                f"{upstream_id!r} is not an upstream of this section",
            )


def _check_snapshots(
    model: SectionModel, service_by_upstream: Mapping[str, str]
) -> Iterator[SectionProblem]:
    first_index_by_id: dict[int, int] = {}
    for index, snapshot in enumerate(model.snapshots):
        path = ("snapshots", index)
        first_index = first_index_by_id.setdefault(snapshot.id, index)
        if first_index != index:
            yield SectionProblem(
                (*path, "id"),
                f"{snapshot.id} is also the id of snapshots[{first_index}];"
                " allowed is one snapshot for each id",
            )
        yield from _check_shards(model, path, snapshot, service_by_upstream)


def _check_shards(
    model: SectionModel,
    snapshot_path: Path,
    snapshot: SnapshotModel,
    service_by_upstream: Mapping[str, str],
) -> Iterator[SectionProblem]:
    first_index_by_id: dict[str, int] = {}
    for index, shard in enumerate(snapshot.shards):
        path = (*snapshot_path, "shards", index)
        first_index = first_index_by_id.setdefault(shard.id, index)
        if first_index != index:
            yield SectionProblem(
                (*path, "id"),
                f"shard {shard.id!r} stands twice in snapshot {snapshot.id},"
                f" first at shards[{first_index}]",
            )
        if shard.service not in model.services:
            yield SectionProblem(
                (*path, "service"),
                f"{shard.service!r} is not a service of this section",
            )
            continue
        yield from _check_replicas(path, shard, service_by_upstream)


def _check_replicas(
    path: Path, shard: ShardModel, service_by_upstream: Mapping[str, str]
) -> Iterator[SectionProblem]:
    seen = set()
    for index, upstream_id in enumerate(shard.replicas):
        replica_path = (*path, "replicas", index)
        service_id = service_by_upstream.get(upstream_id)
        if service_id is None:
            yield SectionProblem(
                replica_path, f"{upstream_id!r} is not an upstream of this section"
            )
        elif service_id != shard.service:
            yield SectionProblem(
                replica_path,
                f"{upstream_id!r} belongs to service {service_id!r}; allowed are"
                f" upstreams of {shard.service!r}",
            )
        if upstream_id in seen:
            yield SectionProblem(replica_path, f"replica {upstream_id!r} stands twice")
        seen.add(upstream_id)


def check_document(
    sections_by_team: Mapping[str, Section],
) -> tuple[DocumentProblem, ...]:
    """Check sections against each other.

    Args:
        sections_by_team: All sections of the document; each is valid by itself.

    Returns:
        Problems for upstream ids and addresses that two teams use; empty for a valid
        document.
    """
    team_by_upstream_id: dict[str, str] = {}
    upstream_by_address: dict[str, Upstream] = {}
    problems = []
    for team, section in sorted(sections_by_team.items()):
        for upstream in section.upstreams_by_id.values():
            first_team = team_by_upstream_id.setdefault(upstream.upstream_id, team)
            if first_team != team:
                problems.append(_shared_id_problem(team, first_team, upstream))
            first = upstream_by_address.setdefault(upstream.address, upstream)
            if first is not upstream and first.upstream_id != upstream.upstream_id:
                problems.append(_shared_address_problem(team, first, upstream))
    return tuple(problems)


def _shared_id_problem(
    team: str, other_team: str, upstream: Upstream
) -> DocumentProblem:
    path = ("services", "upstreams", upstream.upstream_id)
    message = (
        f"upstream {upstream.upstream_id!r} is also in the section of team"
        f" {other_team!r}; allowed is one team for each upstream"
    )
    return DocumentProblem(f"section {team}", 0, path, message)


def _shared_address_problem(
    team: str, other_upstream: Upstream, upstream: Upstream
) -> DocumentProblem:
    path = ("services", "upstreams", upstream.upstream_id, "address")
    message = (
        f"{upstream.address!r} is also the address of {other_upstream.upstream_id!r}"
        " of another team; allowed is one upstream for each address"
    )
    return DocumentProblem(f"section {team}", 0, path, message)


def check_section_update(old: Section, new: Section) -> tuple[DocumentProblem, ...]:
    """Check a team's new section against the one it replaces.

    A snapshot is immutable except for its replicas, and the newest snapshot id never
    decreases: requests in flight would otherwise mix two shard maps under one id.
    """
    source = f"section {new.team}"
    problems = []
    newest_id = max(old.snapshots_by_id)
    if max(new.snapshots_by_id) < newest_id:
        message = (
            f"the newest snapshot is {newest_id}; allowed is {newest_id} or higher"
        )
        problems.append(DocumentProblem(source, 0, ("snapshots",), message))
    for snapshot_id in sorted(old.snapshots_by_id.keys() & new.snapshots_by_id.keys()):
        before = old.snapshots_by_id[snapshot_id].shards_by_id.keys()
        after = new.snapshots_by_id[snapshot_id].shards_by_id.keys()
        if before != after:
            changed = ", ".join(sorted(before ^ after)[:3])
            message = (
                f"snapshot {snapshot_id} has other shards than before ({changed});"
                " a repartition needs a new snapshot id"
            )
            problems.append(DocumentProblem(source, 0, ("snapshots",), message))
    return tuple(problems)
