"""Status of the fleet: summaries of all instances, and their stored encoding."""

from __future__ import annotations

import zlib
from typing import Annotated, NamedTuple

import msgspec

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.protocol.platform import MAX_VALUE_BYTES

FLEET_KIND = "fleet"
FLEET_NAME = "status"
# Limit on the queues in the summary of one instance.
MAX_QUEUES_PER_SUMMARY = 64
# Limit on the size of a stored status after decompression.
MAX_DECODED_BYTES = 8 * MAX_VALUE_BYTES

_Name = Annotated[str, msgspec.Meta(max_length=128)]


class QueueSummary(NamedTuple):
    """Statistics of one service's queue at one instance, a subset of QueueStats.

    Attributes:
        team: The team whose section contains the service.
        service: The service.
        length: Number of waiting requests or legs.
        oldest_age_s: Longest wait so far, in seconds.
        arrivals_per_s: Decayed rate of arrivals, per second.
        served_per_s: Decayed rate of served requests or legs, per second.
        time_to_drain_s: Time to drain without further arrivals, in seconds; infinity
            for never.
        warning: Whether a backlog warning is active.
    """

    team: _Name
    service: _Name
    length: int
    oldest_age_s: float
    arrivals_per_s: float
    served_per_s: float
    time_to_drain_s: float
    warning: bool


class InstanceSummary(NamedTuple):
    """Status that an instance reports of itself.

    Attributes:
        instance: Name of the instance.
        incarnation: Its incarnation.
        zone: Its availability zone.
        generation: The generation of the document it uses.
        load: Its utilization, from 0.0 to 1.0.
        is_ready: Whether it serves requests.
        is_leaving: Whether it is shutting down.
        queues: Its queues, at most MAX_QUEUES_PER_SUMMARY.
    """

    instance: _Name
    incarnation: int
    zone: _Name
    generation: int
    load: float
    is_ready: bool
    is_leaving: bool
    queues: Annotated[
        tuple[QueueSummary, ...], msgspec.Meta(max_length=MAX_QUEUES_PER_SUMMARY)
    ]


class FleetRow(NamedTuple):
    """The last summary of an instance and when it arrived, in ms since the epoch."""

    summary: InstanceSummary
    reported_at_ms: int


class Lease(NamedTuple):
    """Exclusive permission to write an object, stored in the object itself.

    Attributes:
        holder: The instance that may write.
        incarnation: The holder's incarnation.
        epoch: Increases each time that another instance takes over.
        expires_ms: When another instance may take over, in ms since the epoch.
    """

    holder: str
    incarnation: int
    epoch: int
    expires_ms: int


class FleetStatus(NamedTuple):
    """The stored status of the fleet.

    Attributes:
        lease: The lease of the instance that writes it.
        written_at_ms: When it was written, in ms since the epoch.
        rows_by_instance: The last summary of each instance.
    """

    lease: Lease
    written_at_ms: int
    rows_by_instance: dict[str, FleetRow]


_DECODER = msgspec.msgpack.Decoder(FleetStatus)


def encode_fleet(status: FleetStatus) -> bytes:
    """Encode a fleet status as stored in the platform."""
    return zlib.compress(msgspec.msgpack.encode(status))


def decode_fleet(value: bytes) -> FleetStatus:
    """Decode a stored status.

    Raises:
        PlatformError: With PLATFORM_REPLY_INVALID.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(value, MAX_DECODED_BYTES)
        return _DECODER.decode(encoded)
    except (zlib.error, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PlatformError(
            f"fleet status of {len(value)} bytes cannot be decoded: {error}",
            ResultCode.PLATFORM_REPLY_INVALID,
        ) from error
