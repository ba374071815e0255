"""Decoder of the searchers' entries in the platform's store."""

from __future__ import annotations

from typing import Any

from almondspool.errors import UpstreamError
from almondspool.state.routes import Replica

# Kind of the objects that describe one running searcher each.
KIND = "servers"
_KNOWN_STATES = ("ready", "draining")
_MAX_PORT = 65_535


def decode_entry(replica_id: str, spec: Any) -> Replica:
    """Return the replica that an entry describes.

    Args:
        replica_id: The object's name.
        spec: The decoded ``spec`` of the object.

    Raises:
        UpstreamError: If the entry does not describe a searcher; other programs
            write objects of this kind too.
    """
    if not isinstance(spec, dict):
        raise UpstreamError(
            f"entry {replica_id}: spec is a {type(spec).__name__}, not an object"
        )
    state = spec.get("state")
    if state not in _KNOWN_STATES:
        raise UpstreamError(f"entry {replica_id}: unknown state {state!r}")
    return Replica(
        replica_id=replica_id,
        service=_required_text(replica_id, spec, "service"),
        address=_address(replica_id, spec),
        zone=_required_text(replica_id, spec, "zone"),
        slots=_integer(replica_id, spec, "slots", 1),
        is_draining=state == "draining",
        # Remaining warm-up time when the searcher wrote the entry.
        warmup_s=_integer(replica_id, spec, "warmup_left_ms", 0) / 1000.0,
        started_ms=_integer(replica_id, spec, "born", 0, 0),
    )


def _required_text(replica_id: str, spec: dict, key: str) -> str:
    value = spec.get(key)
    if not isinstance(value, str) or not value:
        raise UpstreamError(
            f"entry {replica_id}: {key} {value!r} is not a non-empty string"
        )
    return value


def _address(replica_id: str, spec: dict) -> str:
    value = _required_text(replica_id, spec, "address")
    host, _, port = value.rpartition(":")
    is_number = host.count(".") == 3 and host.replace(".", "").isdigit()
    if not is_number or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise UpstreamError(f"entry {replica_id}: address {value!r} is not ip:port")
    return value


def _integer(
    replica_id: str, spec: dict, key: str, minimum: int, default: int | None = None
) -> int:
    """Return a number of an entry, truncated to an integer."""
    value = spec.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise UpstreamError(f"entry {replica_id}: {key} {value!r} is not a number")
    if value < minimum or value != value or value in (float("inf"),):
        raise UpstreamError(
            f"entry {replica_id}: {key} {value!r} is not finite and at least {minimum}"
        )
    return int(value)
