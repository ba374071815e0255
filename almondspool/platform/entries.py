"""Decoder of the searchers' entries in the platform's store."""

from __future__ import annotations

import ipaddress
import re
import reprlib
from typing import Any

from almondspool.errors import UpstreamError
from almondspool.state.routes import Replica

# Kind of the objects that describe one running searcher each.
KIND = "servers"
_KNOWN_STATES = ("ready", "draining")
_HEADER_TOKEN_PATTERN = re.compile(r"[!-~]+")
_MAX_PORT = 65_535
# Larger numbers are taken for errors of the writer.
_MAX_SLOTS = 100_000
_MAX_WARMUP_MS = 24 * 3600 * 1000
_MAX_EPOCH_MS = 2**53


def decode_entry(replica_id: str, spec: Any) -> Replica:
    """Return the replica that an entry describes.

    Args:
        replica_id: The object's name.
        spec: The decoded ``spec`` of the object.

    Raises:
        UpstreamError: If the entry does not describe a searcher; other programs
            write objects of this kind too.
    """
    # The id is sent in a header.
    if not replica_id or not _HEADER_TOKEN_PATTERN.fullmatch(replica_id):
        raise UpstreamError(
            f"entry {reprlib.repr(replica_id)}: id is not a printable word"
        )
    if not isinstance(spec, dict):
        raise UpstreamError(
            f"entry {replica_id}: spec is a {type(spec).__name__}, not an object"
        )
    state = spec.get("state")
    if state not in _KNOWN_STATES:
        raise UpstreamError(f"entry {replica_id}: unknown state {reprlib.repr(state)}")
    return Replica(
        replica_id=replica_id,
        service=_required_text(replica_id, spec, "service"),
        address=_address(replica_id, spec),
        zone=_required_text(replica_id, spec, "zone"),
        slots=_integer(replica_id, spec, "slots", 1, _MAX_SLOTS),
        is_draining=state == "draining",
        # Remaining warm-up time when the searcher wrote the entry.
        warmup_s=(
            _integer(replica_id, spec, "warmup_left_ms", 0, _MAX_WARMUP_MS) / 1000.0
        ),
        started_ms=_integer(replica_id, spec, "born", 0, _MAX_EPOCH_MS, 0),
    )


def _required_text(replica_id: str, spec: dict, key: str) -> str:
    value = spec.get(key)
    if not isinstance(value, str) or not value:
        raise UpstreamError(
            f"entry {replica_id}: {key} {reprlib.repr(value)} is not a non-empty string"
        )
    return value


def _address(replica_id: str, spec: dict) -> str:
    value = _required_text(replica_id, spec, "address")
    host, _, port = value.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= len(str(_MAX_PORT))
    if not is_port or not 0 < int(port) <= _MAX_PORT:
        raise UpstreamError(
            f"entry {replica_id}: address {reprlib.repr(value)} has no valid port"
        )
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise UpstreamError(f"entry {replica_id}: address: {error}") from error
    return value


def _integer(
    replica_id: str,
    spec: dict,
    key: str,
    minimum: int,
    maximum: int,
    default: int | None = None,
) -> int:
    """Return a number of an entry, truncated to an integer."""
    value = spec.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise UpstreamError(
            f"entry {replica_id}: {key} {reprlib.repr(value)} is not a number"
        )
    # False for "nan", too.
    if not minimum <= value <= maximum:
        raise UpstreamError(
            f"entry {replica_id}: {key} is not between {minimum} and {maximum}"
        )
    return int(value)
