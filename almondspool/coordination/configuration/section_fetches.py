"""Schedule of fetches of missing sections from peers and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

# Name of the platform as a target of fetches and as a source of manifests.
PLATFORM = "@platform"
# How long to wait for a fetch before the next attempt.
FETCH_TIMEOUT_S = 1.0
# Delay of the next attempt after a quick one failed.
FETCH_RETRY_S = 0.1
# After this many attempts the wait doubles with each further one, up to the maximum.
QUICK_ATTEMPTS = 4
MAX_FETCH_WAIT_S = 60.0


class MissingSection(NamedTuple):
    """A section that a candidate manifest names and this instance lacks.

    Attributes:
        team: The team of the section.
        digests: Acceptable digests; more than one only if manifests name sections with
            the same object name and different digests.
        peers: Instances that should have it, the most likely first.
    """

    team: str
    digests: frozenset[str]
    peers: tuple[str, ...]


class _Fetch(NamedTuple):
    """The attempts to fetch one section.

    Attributes:
        attempts: How many attempts were made.
        due: Monotonic seconds of the next attempt.
        peers: The peers that should have the section.
    """

    attempts: int
    due: float
    peers: frozenset[str]


class SectionFetches:
    """Schedules the fetches of missing sections.

    The first attempt goes to a peer and every second one to the platform. After
    QUICK_ATTEMPTS the waits double, so that a manifest that was edited by hand to name
    a section that does not exist costs few calls.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start empty; ``rng`` is the source of the random choice among peers."""
        self._rng = rng
        self._by_name: dict[str, _Fetch] = {}

    def plan(
        self, now: float, missing_by_name: Mapping[str, MissingSection]
    ) -> dict[str, tuple[str, ...]]:
        """Return the names of the sections to fetch now, by peer or PLATFORM.

        Args:
            now: Monotonic seconds.
            missing_by_name: All missing sections; fetches of others are dropped.
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
        """Return whether the last attempt was the first after the quick ones."""
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
    doubling_count = max(0, attempts - QUICK_ATTEMPTS + 1)
    return min(MAX_FETCH_WAIT_S, FETCH_TIMEOUT_S * 2.0**doubling_count)
