"""Schedule of fetches of missing sections from peers and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

PLATFORM = "@platform"
FETCH_TIMEOUT_S = 1.0
FETCH_RETRY_S = 0.1
QUICK_ATTEMPTS = 4
MAX_FETCH_WAIT_S = 60.0


class MissingSection(NamedTuple):
    """A section that a new generation needs.

    Attributes:
        team: Its team.
        digests: Acceptable digests; more than one only if manifests disagree.
        peers: Instances that should have it, the most likely first.
    """

    team: str
    digests: frozenset[str]
    peers: tuple[str, ...]


class _Fetch(NamedTuple):
    attempts: int
    due: float
    peers: frozenset[str]


class SectionFetches:
    """Fetches in progress by section name.

    The first attempt goes to a peer, every second one to the platform. After a few
    quick attempts the waits double, so that a manifest edited by hand to name a
    section that does not exist costs few calls.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start empty; ``rng`` chooses among peers."""
        self._rng = rng
        self._by_name: dict[str, _Fetch] = {}

    def plan(
        self, now: float, missing_by_name: Mapping[str, MissingSection]
    ) -> dict[str, tuple[str, ...]]:
        """Return the names to fetch now, by peer or PLATFORM.

        Args:
            now: Monotonic seconds.
            missing_by_name: All missing sections; other fetches are dropped.
        """
        self._by_name = {
            name: fetch
            for name, fetch in self._by_name.items()
            if name in missing_by_name
        }
        names_by_target: dict[str, tuple[str, ...]] = {}
        for name, missing in sorted(missing_by_name.items()):
            fetch = self._refresh(name, missing, now)
            if now < fetch.due:
                continue
            target = self._choose_target(fetch.attempts, missing.peers)
            names_by_target[target] = names_by_target.get(target, ()) + (name,)
            due = now + _wait_s(fetch.attempts)
            self._by_name[name] = fetch._replace(attempts=fetch.attempts + 1, due=due)
        return names_by_target

    def fail(self, names: Iterable[str], now: float) -> None:
        """Schedule an early retry for names that a target did not deliver."""
        for name in names:
            fetch = self._by_name.get(name)
            if fetch is not None and fetch.attempts <= QUICK_ATTEMPTS:
                due = min(fetch.due, now + FETCH_RETRY_S)
                self._by_name[name] = fetch._replace(due=due)

    def has_used_quick_attempts(self, name: str) -> bool:
        """Return whether the quick attempts for a name have just run out."""
        fetch = self._by_name.get(name)
        return fetch is not None and fetch.attempts == QUICK_ATTEMPTS + 1

    def _refresh(self, name: str, missing: MissingSection, now: float) -> _Fetch:
        """Return a name's fetch, restarted if another peer should have it too."""
        peers = frozenset(missing.peers)
        fetch = self._by_name.get(name)
        if fetch is None or not peers <= fetch.peers:
            fetch = _Fetch(0, now, peers)
        self._by_name[name] = fetch._replace(peers=peers)
        return self._by_name[name]

    def _choose_target(self, attempts: int, peers: tuple[str, ...]) -> str:
        if not peers or attempts % 2 == 1:
            return PLATFORM
        return peers[0] if attempts == 0 else self._rng.choice(peers)


def _wait_s(attempts: int) -> float:
    slow_attempts = max(0, attempts - QUICK_ATTEMPTS + 1)
    return min(MAX_FETCH_WAIT_S, FETCH_TIMEOUT_S * 2.0**slow_attempts)
