"""Client-side cache of the addresses of instances that callers may send requests to."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import quote

import msgspec
import urllib3

if TYPE_CHECKING:
    from collections.abc import Sequence

REQUEST_TIMEOUT_S = 2.0


class _Entry(msgspec.Struct):
    address: str
    zone: str


class _EntryList(msgspec.Struct):
    entries: list[_Entry]
    ttl_ms: int


class _CachedEntries(NamedTuple):
    addresses: tuple[str, ...]
    expires_at: float


class EntryCache:
    """Fetches the entry list of a zone and caches it for its time to live."""

    def __init__(self, addresses: Sequence[str], http: urllib3.PoolManager) -> None:
        """Create a cache that fetches from the instances at these caller addresses."""
        self._instance_addresses = tuple(addresses)
        self._http = http
        self._cached_entries_by_zone: dict[str, _CachedEntries] = {}
        self._refreshing_zones: set[str] = set()
        self._rng = random.Random(1)

    def choose(self, zone: str) -> str:
        """Return the address of an instance for a request of a caller in a zone.

        The address is chosen at random among the entries in the zone of the list's
        first entry. While one green thread refreshes an expired list, the others use
        the expired one. Without a list, any instance may be chosen.
        """
        cached = self._cached_entries_by_zone.get(zone)
        is_fresh = cached is not None and time.monotonic() < cached.expires_at
        if not is_fresh and zone not in self._refreshing_zones:
            cached = self._refresh(zone) or cached
        return self._rng.choice(
            cached.addresses if cached else self._instance_addresses
        )

    def _refresh(self, zone: str) -> _CachedEntries | None:
        self._refreshing_zones.add(zone)
        try:
            entry_list = self._fetch(zone)
        finally:
            self._refreshing_zones.discard(zone)
        if entry_list is None or not entry_list.entries:
            return None
        first_zone = entry_list.entries[0].zone
        addresses = tuple(
            entry.address for entry in entry_list.entries if entry.zone == first_zone
        )
        expires_at = time.monotonic() + entry_list.ttl_ms / 1000
        self._cached_entries_by_zone[zone] = _CachedEntries(addresses, expires_at)
        return self._cached_entries_by_zone[zone]

    def _fetch(self, zone: str) -> _EntryList | None:
        for address in self._rng.sample(
            self._instance_addresses, len(self._instance_addresses)
        ):
            url = f"http://{address}/v1/entries?zone={quote(zone, safe='')}"
            try:
                response = self._http.request("GET", url, timeout=REQUEST_TIMEOUT_S)
                return msgspec.json.decode(response.data, type=_EntryList)
            except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError):
                continue
        return None
