"""The fleet's status: what instances report, and its stored form in the platform."""

from __future__ import annotations

import zlib
from typing import Annotated, NamedTuple

import msgspec

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.protocol.platform import MAX_VALUE_BYTES

FLEET_KIND = "fleet"
FLEET_NAME = "status"
MAX_QUEUES = 64
# Decompressed size up to which a stored status is read, in bytes.
MAX_DECODED_BYTES = 8 * MAX_VALUE_BYTES

_Name = Annotated[str, msgspec.Meta(max_length=128)]


class QueueSummary(NamedTuple):
    """The queue of one service at one instance; see QueueStats of the backlog."""

    team: _Name
    service: _Name
    length: int
    oldest_age_s: float
    arrivals_per_s: float
    served_per_s: float
    time_to_drain_s: float
    warning: bool


class InstanceSummary(NamedTuple):
    """What an instance reports of itself.

    Attributes:
        instance: Its name.
        incarnation: Its incarnation.
        zone: Its availability zone.
        generation: The document generation it runs.
        load: Busy share from 0.0 to 1.0.
        is_ready: Whether it serves.
        is_leaving: Whether it is stopping.
        queues: Its queues, at most MAX_QUEUES.
    """

    instance: _Name
    incarnation: int
    zone: _Name
    generation: int
    load: float
    is_ready: bool
    is_leaving: bool
    queues: Annotated[tuple[QueueSummary, ...], msgspec.Meta(max_length=MAX_QUEUES)]


class FleetRow(NamedTuple):
    """The last report of an instance and when it came, in ms since the epoch."""

    summary: InstanceSummary
    reported_at_ms: int


class Lease(NamedTuple):
    """Who may write an object, stored in the object itself.

    Attributes:
        holder: The instance.
        incarnation: Its incarnation.
        epoch: Grows with each taking over.
        expires_ms: When another may take over, in ms since the epoch.
    """

    holder: str
    incarnation: int
    epoch: int
    expires_ms: int


class FleetStatus(NamedTuple):
    """The stored status of the fleet.

    Attributes:
        lease: Who writes it.
        written_at_ms: When it was written, in ms since the epoch.
        rows_by_instance: The last report of each instance.
    """

    lease: Lease
    written_at_ms: int
    rows_by_instance: dict[str, FleetRow]


_DECODER = msgspec.msgpack.Decoder(FleetStatus)


def encode_fleet(status: FleetStatus) -> bytes:
    """Return the stored form of a fleet's status."""
    return zlib.compress(msgspec.msgpack.encode(status))


def decode_fleet(value: bytes) -> FleetStatus:
    """Return a stored status.

    Raises:
        PlatformError: With PLATFORM_REPLY_INVALID.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(value, MAX_DECODED_BYTES)
        return _DECODER.decode(packed)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlatformError(
            f"fleet status of {len(value)} bytes cannot be decoded: {error}",
            ResultCode.PLATFORM_REPLY_INVALID,
        ) from error
