"""The addresses a caller may use, as an instance told it, kept for their lifetime."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import quote

import msgspec
import urllib3

if TYPE_CHECKING:
    from collections.abc import Sequence

ASK_TIMEOUT_S = 2.0


class _Entry(msgspec.Struct):
    address: str
    zone: str


class _EntryList(msgspec.Struct):
    entries: list[_Entry]
    ttl_ms: int


class _Kept(NamedTuple):
    addresses: tuple[str, ...]
    expires_at: float


class EntryBook:
    """Asks for entries by zone and keeps each list for its time to live."""

    def __init__(self, addresses: Sequence[str], http: urllib3.PoolManager) -> None:
        """Ask the instances at these addresses."""
        self._asked = tuple(addresses)
        self._http = http
        self._kept_by_zone: dict[str, _Kept] = {}
        self._asking: set[str] = set()
        self._rng = random.Random(1)

    def choose(self, zone: str) -> str:
        """Return an address for a caller in a zone.

        While one green thread renews an expired list the others use the old one.
        """
        kept = self._kept_by_zone.get(zone)
        is_fresh = kept is not None and time.monotonic() < kept.expires_at
        if not is_fresh and zone not in self._asking:
            kept = self._renew(zone) or kept
        return self._rng.choice(kept.addresses if kept else self._asked)

    def _renew(self, zone: str) -> _Kept | None:
        self._asking.add(zone)
        try:
            entries = self._ask(zone)
        finally:
            self._asking.discard(zone)
        if entries is None or not entries.entries:
            return None
        first_zone = entries.entries[0].zone
        addresses = tuple(
            entry.address for entry in entries.entries if entry.zone == first_zone
        )
        expires_at = time.monotonic() + entries.ttl_ms / 1000
        self._kept_by_zone[zone] = _Kept(addresses, expires_at)
        return self._kept_by_zone[zone]

    def _ask(self, zone: str) -> _EntryList | None:
        for address in self._rng.sample(self._asked, len(self._asked)):
            url = f"http://{address}/v1/entries?zone={quote(zone, safe='')}"
            try:
                response = self._http.request("GET", url, timeout=ASK_TIMEOUT_S)
                return msgspec.json.decode(response.data, type=_EntryList)
            except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError):
                continue
        return None
