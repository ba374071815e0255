"""The YAML form of one section: keys, types and bounds, checked by pydantic."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import pydantic

MAX_NAME_LENGTH = 63
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
        pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*$", max_length=MAX_NAME_LENGTH
    ),
]
ShardId = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_./-]{0,127}$"),
]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]
PriorityName = Literal["urgent", "normal", "background"]


class _Form(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


class UpstreamForm(_Form):
    """One upstream, named by its key.

    Attributes:
        address: ``ip:port``.
        zone: Its availability zone.
        slots: Legs it runs at a time.
        connections: Connections it accepts from all instances together.
        connect_cost_ms: Time a new connection costs, in milliseconds.
    """

    address: Address
    zone: Name
    slots: Annotated[int, pydantic.Field(ge=1, le=MAX_SLOTS)]
    connections: Annotated[int, pydantic.Field(ge=1, le=MAX_CONNECTIONS)]
    connect_cost_ms: Annotated[float, pydantic.Field(ge=0, le=MAX_CONNECT_COST_MS)] = 0


class ServiceForm(_Form):
    """One service, named by its key."""

    upstreams: Annotated[dict[Name, UpstreamForm], pydantic.Field(min_length=1)]


class ShardForm(_Form):
    """One shard of a snapshot's map."""

    id: ShardId
    service: Name
    replicas: Annotated[list[Name], pydantic.Field(min_length=1)]


class SnapshotForm(_Form):
    """One index version and its shard map."""

    id: Annotated[int, pydantic.Field(ge=1, le=MAX_SNAPSHOT_ID)]
    shards: Annotated[list[ShardForm], pydantic.Field(min_length=1)]


class SectionForm(_Form):
    """One team's section.

    Attributes:
        team: The team's name, unique within the document.
        priority: Priority of callers that ``callers`` does not name.
        deadline_ms: Deadline of requests that give none, in milliseconds.
        callers: Priority by caller name.
        drained: Upstreams that get no new work.
        services: Services by id.
        snapshots: Index versions; requests start on the highest id.
    """

    team: Name
    priority: PriorityName
    deadline_ms: Annotated[int, pydantic.Field(ge=1, le=MAX_DEADLINE_MS)]
    callers: dict[Name, PriorityName] = {}
    drained: list[Name] = []
    services: Annotated[dict[Name, ServiceForm], pydantic.Field(min_length=1)]
    snapshots: Annotated[list[SnapshotForm], pydantic.Field(min_length=1)]


# The form that holds a key, by the first step and the length of the key's path.
FORM_BY_PLACE: dict[tuple[str | int, int], type[pydantic.BaseModel]] = {
    ("services", 3): ServiceForm,
    ("services", 5): UpstreamForm,
    ("snapshots", 3): SnapshotForm,
    ("snapshots", 5): ShardForm,
}
