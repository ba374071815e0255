"""Settings of a searcher process: its searchers and their data."""

from __future__ import annotations

import pathlib

import msgspec

from almondspool.standins.records import Dataset


class SearcherSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a searcher.

    Attributes:
        upstream_id: Its id in the configuration document.
        team: The team whose dataset it searches.
        address: ``ip:port`` it listens on.
        zone: Its availability zone.
        slots: Number of legs it runs at a time.
        connections: Maximum number of open connections.
        connect_cost_ms: Delay before the first reply on a connection, in milliseconds.
        service_time_ms: Mean service time of a leg, in milliseconds.
        queue_limit: Number of waiting legs at which it sheds further ones.
        cold_start_s: Time from start until warm, in seconds; 0 for warm at once.
        load_lag_s: Time for which a load report is repeated, in seconds; 0 for the
            current load in every report.
        shards_by_snapshot: Ids of the shards it holds, by snapshot.
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
    """Settings of a searcher process.

    Attributes:
        control_address: ``ip:port`` of the control port.
        datasets: Specification of each team's records.
        searchers: The searchers.
    """

    control_address: str
    datasets: tuple[Dataset, ...]
    searchers: tuple[SearcherSettings, ...]


def load_process_settings(path: str) -> SearcherProcessSettings:
    """Read the settings file (YAML) of a searcher process.

    Raises:
        msgspec.ValidationError: With the invalid key and the expected value.
    """
    text = pathlib.Path(path).read_bytes()
    return msgspec.yaml.decode(text, type=SearcherProcessSettings, strict=False)


def dump_process_settings(settings: SearcherProcessSettings) -> str:
    """Return the text of the settings file of a searcher process."""
    return msgspec.yaml.encode(settings).decode()
