"""Settings of a searcher process: its searchers and their data."""

from __future__ import annotations

import pathlib

import msgspec

from almondspool.standins.records import Dataset


class SearcherSettings(msgspec.Struct, forbid_unknown_fields=True):
    """One searcher.

    Attributes:
        upstream_id: Its id in the configuration document.
        team: The team whose dataset it searches.
        address: ``ip:port``.
        zone: Its availability zone.
        slots: Legs it runs at a time.
        connections: Maximum number of connections.
        connect_cost_ms: Delay before the first reply on a connection, in ms.
        service_time_ms: Mean time of one leg, in milliseconds.
        queue_limit: Waiting legs at which it sheds further ones.
        cold_start_s: Time from start until warm, in seconds; 0 for warm at once.
        shards_by_snapshot: Shard ids it holds, by snapshot.
    """

    upstream_id: str
    team: str
    address: str
    zone: str
    slots: int
    connections: int
    connect_cost_ms: float
    shards_by_snapshot: dict[int, tuple[str, ...]]
    service_time_ms: float = 3.0
    queue_limit: int = 200
    cold_start_s: float = 0.0
    load_lag_s: float = 0.0


class SearcherProcessSettings(msgspec.Struct, forbid_unknown_fields=True):
    """All searchers of one process.

    Attributes:
        control_address: ``ip:port`` of the control port.
        datasets: The data of each team.
        searchers: The searchers.
    """

    control_address: str
    datasets: tuple[Dataset, ...]
    searchers: tuple[SearcherSettings, ...]


def load_process_settings(path: str) -> SearcherProcessSettings:
    """Read the settings file of a searcher process.

    Raises:
        msgspec.ValidationError: Naming the invalid key and the expected value.
    """
    text = pathlib.Path(path).read_bytes()
    return msgspec.yaml.decode(text, type=SearcherProcessSettings, strict=False)


def dump_process_settings(settings: SearcherProcessSettings) -> str:
    """Return the YAML text of a searcher process's settings."""
    return msgspec.yaml.encode(settings).decode()
