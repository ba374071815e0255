"""Pydantic models of a section in YAML: keys, types and bounds."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import pydantic

MAX_NAME_CHARS = 63
MAX_SNAPSHOT_ID = 2**53
MAX_DEADLINE_MS = 60_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_CONNECT_COST_MS = 60_000
MAX_PORT = 65_535


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        separator = ""
    if not separator or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"allowed is an IPv4 address and a port 1-{MAX_PORT}, ip:port")
    return value


Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$", max_length=MAX_NAME_CHARS
    ),
]
ShardId = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_./-]{0,127}$"),
]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]
PriorityName = Literal["urgent", "normal", "background"]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


class UpstreamModel(_Model):
    """An upstream; its key in the mapping is its id.

    Attributes:
        address: ``ip:port``.
        zone: Its availability zone.
        slots: Number of legs it can run concurrently.
        connections: Number of connections it accepts from all instances together.
        connect_cost_ms: Time to open a new connection, in milliseconds.
    """

    address: Address
    zone: Name
    slots: Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, pydantic.Field(ge=1, le=MAX_CONNECTIONS)]
    connect_cost_ms: Annotated[float, pydantic.Field(ge=0, le=MAX_CONNECT_COST_MS)] = 0


class ServiceModel(_Model):
    """A service; its key in the mapping is its id."""

    upstreams: Annotated[dict[Name, UpstreamModel], pydantic.Field(min_length=1)]


class ShardModel(_Model):
    """One shard of a snapshot."""

    id: ShardId
    service: Name
    replicas: Annotated[list[Name], pydantic.Field(min_length=1)]


class SnapshotModel(_Model):
    """One version of the index and its shards."""

    id: Annotated[int, pydantic.Field(ge=1, le=MAX_SNAPSHOT_ID)]
    shards: Annotated[list[ShardModel], pydantic.Field(min_length=1)]


class SectionModel(_Model):
    """The section of one team.

    Attributes:
        team: The team's name, unique within the document.
        priority: Priority of callers that are not listed in ``callers``.
        deadline_ms: Default deadline of requests, in milliseconds.
        callers: Priority by caller name.
        drained: Upstreams that receive no new work.
        services: Services by id.
        snapshots: Versions of the index; new requests use the highest id.
    """

    team: Name
    priority: PriorityName
    deadline_ms: Annotated[int, pydantic.Field(ge=1, le=MAX_DEADLINE_MS)]
    callers: dict[Name, PriorityName] = {}
    drained: list[Name] = []
    services: Annotated[dict[Name, ServiceModel], pydantic.Field(min_length=1)]
    snapshots: Annotated[list[SnapshotModel], pydantic.Field(min_length=1)]


# The model that defines a key, by the first step and the number of steps of its path:
# the path services.ID.KEY has 3 steps, and ServiceModel defines KEY.
MODEL_BY_PATH: dict[tuple[str | int, int], type[pydantic.BaseModel]] = {
    ("services", 3): ServiceModel,
    ("services", 5): UpstreamModel,
    ("snapshots", 3): SnapshotModel,
    ("snapshots", 5): ShardModel,
}
