"""Confirmation of the view of an instance that started or re-joined.

A view is confirmed when it is known to include the members that peers know: a peer sent
its whole view, or there is no peer that could.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

# How long to wait for a page of a peer's view before requesting another.
PAGE_TIMEOUT_S = 1.0


class CandidateAddress(NamedTuple):
    """A peer address at which an instance may answer.

    Attributes:
        address: ``ip:port``.
        instance: The name in the member record that had the address; empty for a seed.
        added_at: Monotonic seconds when it was first reported.
    """

    address: str
    instance: str
    added_at: float


class JoinState:
    """Tracks whether the view is confirmed, and the candidate addresses to contact.

    Attributes:
        confirmed_by: How the view was confirmed: ``peer`` if a peer sent its whole
            view, ``platform`` if no instance in the member records answered, ``alone``
            if no peer is known and the platform did not answer either. Empty while the
            view is not confirmed.
    """

    def __init__(
        self, seed_peers: Iterable[str], own_address: str, candidate_wait_s: float
    ) -> None:
        """Start unconfirmed.

        Args:
            seed_peers: Peer addresses from the settings.
            own_address: The own peer address, which is never a candidate.
            candidate_wait_s: How long to wait for candidates to answer, in seconds.
        """
        self._own_address = own_address
        self._candidate_wait_s = candidate_wait_s
        self._candidates_by_address: dict[str, CandidateAddress] = {}
        self._platform_read_at: float | None = None
        self._started_at = 0.0
        self._page_requested_at = -PAGE_TIMEOUT_S
        self._page_sequence = 0
        self.confirmed_by = ""
        for address in seed_peers:
            self.add_candidate(address, "", 0.0)

    def restart(self, now: float) -> None:
        """Restart the join, unconfirmed."""
        self._started_at = now
        self._platform_read_at = None
        self._page_requested_at = now - PAGE_TIMEOUT_S
        self._page_sequence = 0
        self.confirmed_by = ""

    def add_candidate(self, address: str, instance: str, now: float) -> None:
        """Add an address to contact."""
        if address != self._own_address:
            candidate = CandidateAddress(address, instance, now)
            self._candidates_by_address.setdefault(address, candidate)

    def candidates(self) -> list[CandidateAddress]:
        """Return the candidate addresses in order."""
        return sorted(self._candidates_by_address.values())

    def expired_candidates(self, now: float, age_s: float) -> list[CandidateAddress]:
        """Remove and return the candidates of age_s seconds or more, except seeds."""
        expired = [
            candidate
            for candidate in self.candidates()
            if candidate.instance and now - candidate.added_at >= age_s
        ]
        for candidate in expired:
            self.drop_candidate(candidate.address)
        return expired

    def drop_candidate(self, address: str) -> None:
        """Remove an address, unless it is a seed."""
        candidate = self._candidates_by_address.get(address)
        if candidate is not None and candidate.instance:
            del self._candidates_by_address[address]

    def record_platform_read(self, now: float) -> None:
        """Record the time of the first read of the member records since the start."""
        if self._platform_read_at is None:
            self._platform_read_at = now

    def needs_page(self, now: float) -> bool:
        """Return whether to request a peer's view: not while a request is pending."""
        waited_s = now - self._page_requested_at
        return not self.confirmed_by and waited_s >= PAGE_TIMEOUT_S

    def record_page_request(self, sequence: int, now: float) -> None:
        """Record the request for a page of a peer's view."""
        self._page_sequence = sequence
        self._page_requested_at = now

    def is_page_expected(self, echo: int) -> bool:
        """Return whether a page answers the last request and is still needed."""
        return not self.confirmed_by and echo == self._page_sequence

    def confirm_by_peer(self) -> None:
        """Confirm the view after a peer sent the last page of its own."""
        self.confirmed_by = "peer"

    def needs_platform_read(self) -> bool:
        """Return whether the view is unconfirmed and the platform was not read yet."""
        return not self.confirmed_by and self._platform_read_at is None

    def confirm_without_peer(
        self, live_count: int, known_count: int, now: float
    ) -> None:
        """Confirm the view if no peer can do so; called after each event.

        Args:
            live_count: How many other instances are not dead.
            known_count: How many other instances are known, dead ones included; if any
                are, only a read of the platform can confirm that none is left.
            now: Monotonic seconds.
        """
        if self.confirmed_by or live_count:
            return
        if self._platform_read_at is not None:
            waited_s = now - self._platform_read_at
            if not self._candidates_by_address or waited_s >= self._candidate_wait_s:
                self.confirmed_by = "platform"
        elif not known_count and not self._candidates_by_address:
            if now - self._started_at >= self._candidate_wait_s:
                self.confirmed_by = "alone"
