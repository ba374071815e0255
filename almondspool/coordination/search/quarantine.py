"""Quarantine of requests that crash upstreams.

A request is suspect after one crash and refused after two.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from almondspool.protocol.peer import Suspicion

if TYPE_CHECKING:
    from almondspool.protocol.caller import SearchRequest

# Crashes from which on a request is refused.
MIN_QUARANTINE_CRASHES = 2
MAX_QUARANTINE_ENTRIES = 4096  # about 400 bytes each
MAX_UPSTREAMS_PER_ENTRY = 4


class QuarantineState(enum.StrEnum):
    """Quarantine state of a request, which determines how it may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class _Entry(NamedTuple):
    """Crashes of one fingerprint.

    Attributes:
        crashes: The highest crash count reported for it.
        expires_ms_by_upstream: When the last crash of each upstream expires.
    """

    crashes: int
    expires_ms_by_upstream: dict[str, int]

    def expires_ms(self) -> int:
        return max(self.expires_ms_by_upstream.values())


def compute_fingerprint(request: SearchRequest) -> str:
    """Return a hash of a request's work, independent of caller and request id."""
    content = (
        request.team,
        sorted(request.query.items()),
        "search" if request.idempotent else request.shard,
    )
    return xxhash.xxh3_128_hexdigest(msgspec.msgpack.encode(content))


class Quarantine:
    """Requests whose legs were cut off, as seen by this instance and its peers.

    Merging is commutative and idempotent: an entry keeps the latest expiry of each
    upstream and the highest crash count. Times are milliseconds since the epoch.
    """

    def __init__(self, quarantine_s: float) -> None:
        """Start empty; a crash expires after this many seconds."""
        self._lifetime_ms = int(quarantine_s * 1000)
        self._entries_by_fingerprint: dict[str, _Entry] = {}

    def state_of(self, now_ms: int, fingerprint: str) -> QuarantineState:
        """Return the state of a request by its fingerprint."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or entry.expires_ms() <= now_ms:
            return QuarantineState.CLEAR
        if self._count_unexpired_crashes(now_ms, entry) >= MIN_QUARANTINE_CRASHES:
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT

    def remaining_ms(self, now_ms: int, fingerprint: str) -> int:
        """Return the milliseconds until the last crash of a request expires."""
        entry = self._entries_by_fingerprint.get(fingerprint)
        return max(0, entry.expires_ms() - now_ms) if entry else 0

    def record_cut_off(
        self, now_ms: int, fingerprint: str, upstream_id: str
    ) -> Suspicion:
        """Record a crash seen by this instance and return the message for peers."""
        expires_ms = now_ms + self._lifetime_ms
        self.merge(now_ms, Suspicion(fingerprint, 1, upstream_id, expires_ms))
        entry = self._entries_by_fingerprint[fingerprint]
        crashes = self._count_unexpired_crashes(now_ms, entry)
        return Suspicion(fingerprint, crashes, upstream_id, expires_ms)

    def merge(self, now_ms: int, suspicion: Suspicion) -> bool:
        """Merge a suspicion of a peer.

        An expired suspicion is ignored. An expiry later than that of a crash seen now
        is capped to it.

        Returns:
            Whether the crashes known of the request have changed.
        """
        latest_ms = now_ms + self._lifetime_ms
        expires_ms = min(suspicion.expires_ms, latest_ms)
        if expires_ms <= now_ms or suspicion.crashes < 1:
            return False
        fingerprint = suspicion.fingerprint
        entry = self._entries_by_fingerprint.get(fingerprint)
        if entry is None or entry.expires_ms() <= now_ms:
            entry = _Entry(0, {})
            self._ensure_capacity(now_ms)
        expiries = dict(entry.expires_ms_by_upstream)
        upstream_id = suspicion.upstream_id
        expiries[upstream_id] = max(expires_ms, expiries.get(upstream_id, 0))
        crashes = max(entry.crashes, min(suspicion.crashes, MIN_QUARANTINE_CRASHES))
        merged = _Entry(crashes, _keep_latest(expiries))
        self._entries_by_fingerprint[fingerprint] = merged
        return merged != entry

    def clear(self, now_ms: int, fingerprint: str) -> bool:
        """Drop the suspicion of a request that has since completed.

        A quarantined request stays quarantined until its entry expires.
        """
        if self.state_of(now_ms, fingerprint) != QuarantineState.SUSPECT:
            return False
        del self._entries_by_fingerprint[fingerprint]
        return True

    def quarantined_fingerprints(self, now_ms: int) -> tuple[str, ...]:
        """Return the quarantined fingerprints, sorted."""
        return tuple(
            fingerprint
            for fingerprint in sorted(self._entries_by_fingerprint)
            if self.state_of(now_ms, fingerprint) == QuarantineState.QUARANTINED
        )

    def __len__(self) -> int:
        """Return the number of fingerprints kept, including expired ones."""
        return len(self._entries_by_fingerprint)

    def _count_unexpired_crashes(self, now_ms: int, entry: _Entry) -> int:
        expiries = entry.expires_ms_by_upstream.values()
        unexpired = sum(expires_ms > now_ms for expires_ms in expiries)
        return max(unexpired, entry.crashes)

    def _ensure_capacity(self, now_ms: int) -> None:
        if len(self._entries_by_fingerprint) < MAX_QUARANTINE_ENTRIES:
            return
        first_to_expire = min(
            self._entries_by_fingerprint,
            key=lambda fingerprint: self._entries_by_fingerprint[
                fingerprint
            ].expires_ms(),
        )
        del self._entries_by_fingerprint[first_to_expire]


def _keep_latest(expiries: dict[str, int]) -> dict[str, int]:
    ordered = sorted(expiries.items(), key=lambda item: (-item[1], item[0]))
    return dict(ordered[:MAX_UPSTREAMS_PER_ENTRY])
