"""Generated records of the stand-ins, partitioned into shards for each snapshot.

A record's id determines its service and its fields, so that every process generates
the same data from the same specification. From one snapshot to the next, some records
get a new ``revision``, some are removed and one is added to each service.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Mapping, Sequence

import msgspec
import xxhash

from almondspool.protocol.caller import Record

SUMP_ALARMS = "sump_alarms"
GUINEA_PIGS = "guinea_pigs"

# With each snapshot, one of this many records gets a new revision or is removed.
RECORDS_PER_REVISION = 10
RECORDS_PER_REMOVAL = 40

CHOICES_BY_FIELD_BY_KIND: dict[str, dict[str, tuple[str, ...]]] = {
    SUMP_ALARMS: {
        "suburb": (
            "Bassendean",
            "Bayswater",
            "Cannington",
            "Fremantle",
            "Guildford",
            "Kalamunda",
            "Maylands",
            "Rockingham",
            "Subiaco",
        ),
        "street": (
            "Banksia Street",
            "Canning Road",
            "Jarrah Lane",
            "Marri Way",
            "Railway Parade",
            "River Terrace",
            "Station Street",
            "Swan View",
            "Tuart Avenue",
            "Wandoo Close",
        ),
        "model": ("float-1", "float-2", "probe-3", "radar-4"),
        "status": ("armed", "armed", "armed", "fault", "unregistered"),
    },
    GUINEA_PIGS: {
        "shelter": (
            "Austin Eastside",
            "Austin South",
            "Bastrop",
            "Laredo",
            "San Antonio North",
            "San Antonio River",
            "Temple",
            "Waco Brazos",
        ),
        "breed": ("abyssinian", "american", "peruvian", "silkie", "teddy"),
        "sex": ("boar", "sow"),
        "status": ("waiting", "waiting", "waiting", "on hold", "vet visit"),
    },
}
_NUMBER_FIELD_BY_KIND = {SUMP_ALARMS: "house", GUINEA_PIGS: "intake"}
_MAX_NUMBER_FIELD_VALUE = 400


class Dataset(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Specification from which one team's records are generated.

    Attributes:
        team: The team, whose name starts each record id.
        kind: SUMP_ALARMS or GUINEA_PIGS.
        seed: Seed of the field values.
        records_per_service: Number of records of a service in snapshot 1.
        service_ids: Ids of the team's services.
        shards_by_snapshot: Number of shards of each service, by snapshot; a change of
            the number repartitions the records.
    """

    team: str
    kind: str
    seed: int
    records_per_service: int
    service_ids: tuple[str, ...]
    shards_by_snapshot: dict[int, int]

    def shard_ids(self, service_id: str, snapshot: int) -> tuple[str, ...]:
        """Return the shard ids of a service in a snapshot."""
        count = self.shards_by_snapshot[snapshot]
        return tuple(f"{service_id}/{number}" for number in range(count))


def shard_id_of(
    dataset: Dataset, record_id: str, service_id: str, snapshot: int
) -> str:
    """Return the id of the shard that holds a record in a snapshot."""
    count = dataset.shards_by_snapshot[snapshot]
    return f"{service_id}/{_hash(record_id) % count}"


def service_records(
    dataset: Dataset, service_id: str, snapshot: int
) -> tuple[Record, ...]:
    """Return all records of a service in a snapshot, ordered by id."""
    count = dataset.records_per_service + snapshot - 1
    record_ids = (f"{service_id}-{number:06d}" for number in range(count))
    return tuple(
        _build_record(dataset, record_id, snapshot)
        for record_id in record_ids
        if not _is_removed(record_id, snapshot)
    )


def records_by_shard(
    dataset: Dataset, service_id: str, snapshot: int
) -> dict[str, tuple[Record, ...]]:
    """Return the records of a service in a snapshot by shard id."""
    by_shard: dict[str, list[Record]] = {
        shard_id: [] for shard_id in dataset.shard_ids(service_id, snapshot)
    }
    for record in service_records(dataset, service_id, snapshot):
        shard_id = shard_id_of(dataset, record.record_id, service_id, snapshot)
        by_shard[shard_id].append(record)
    return {shard_id: tuple(records) for shard_id, records in by_shard.items()}


def find_records(
    records: Sequence[Record], query: Mapping[str, str]
) -> tuple[Record, ...]:
    """Return the records that have every field value of a query."""
    return tuple(
        record
        for record in records
        if all(record.fields.get(key) == value for key, value in query.items())
    )


def plain_scan(
    dataset: Dataset,
    snapshot: int,
    query: Mapping[str, str],
    *,
    services: Sequence[str] = (),
    missing_shards: Sequence[str] = (),
) -> tuple[Record, ...]:
    """Scan the dataset for the records that an answer must contain, ordered by id.

    Args:
        dataset: The team's dataset.
        snapshot: The answer's snapshot.
        query: Required value by field.
        services: The services searched; empty for all.
        missing_shards: Shards that a partial answer names as missing.
    """
    found: list[Record] = []
    for service_id in services or dataset.service_ids:
        by_shard = records_by_shard(dataset, service_id, snapshot)
        for shard_id, records in by_shard.items():
            if shard_id not in missing_shards:
                found.extend(find_records(records, query))
    return tuple(sorted(found, key=lambda record: record.record_id))


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


def _is_removed(record_id: str, snapshot: int) -> bool:
    return any(
        _hash(f"removed {record_id} {number}") % RECORDS_PER_REMOVAL == 0
        for number in range(2, snapshot + 1)
    )


def _revision(record_id: str, snapshot: int) -> int:
    changes = (
        _hash(f"revised {record_id} {number}") % RECORDS_PER_REVISION == 0
        for number in range(2, snapshot + 1)
    )
    return sum(changes)


def _build_record(dataset: Dataset, record_id: str, snapshot: int) -> Record:
    fields = dict(_base_fields(dataset.kind, f"{dataset.seed} {record_id}"))
    fields["revision"] = str(_revision(record_id, snapshot))
    return Record(record_id, fields)


@functools.lru_cache(maxsize=100_000)
def _base_fields(kind: str, seed: str) -> tuple[tuple[str, str], ...]:
    generator = random.Random(seed)
    fields = [
        (field, generator.choice(choices))
        for field, choices in CHOICES_BY_FIELD_BY_KIND[kind].items()
    ]
    number_field = _NUMBER_FIELD_BY_KIND[kind]
    fields.append((number_field, str(generator.randint(1, _MAX_NUMBER_FIELD_VALUE))))
    return tuple(fields)
