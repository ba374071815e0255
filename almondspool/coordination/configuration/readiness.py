"""Readiness of a started instance to serve with its document."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondspool.state.members import Member

# Delay between two attempts to confirm the document at the platform.
CONFIRM_RETRY_S = 2.0


class Readiness:
    """Tracks whether the document is confirmed to be the accepted one.

    Reads of the platform may be stale, so they confirm nothing. A conditional write
    does, as it succeeds only on the current version. A peer that serves does too, as
    its own document was confirmed.

    Attributes:
        was_ready: Whether the instance has been found ready; it then remains so.
    """

    def __init__(self, ready_from: float) -> None:
        """Start unconfirmed.

        Args:
            ready_from: Monotonic seconds until which to wait for the generations that
                peers run; the instance is not ready before.
        """
        self._ready_from = ready_from
        self.was_ready = False
        self._has_platform_replied = False
        self._confirmed_generation: int | None = None
        self._is_confirming = False
        self._confirm_due_at = ready_from

    def record_platform_reply(self) -> None:
        """Record that the platform answered a read of the manifest, even with none."""
        self._has_platform_replied = True

    def record_confirmation(self, generation: int, now: float) -> None:
        """Record the current generation, as found by a conditional write."""
        self.end_confirming(now)
        self._confirmed_generation = generation

    def end_confirming(self, now: float) -> None:
        """Record the end of an attempt to confirm, and schedule the next one."""
        self._is_confirming = False
        self._confirm_due_at = now + CONFIRM_RETRY_S

    def is_ready(self, generation: int, peers: Sequence[Member], now: float) -> bool:
        """Return whether the instance may serve.

        Args:
            generation: Generation of the document in force here; 0 for none.
            peers: The other instances that are not dead.
            now: Monotonic seconds.
        """
        if not self.was_ready and now >= self._ready_from:
            is_behind = any(peer.generation > generation for peer in peers)
            is_confirmed = self._is_confirmed(generation, peers)
            self.was_ready = is_confirmed and not is_behind
        return self.was_ready

    def start_confirming(
        self, generation: int, peers: Sequence[Member], now: float
    ) -> bool:
        """Return whether to start to confirm the document at the platform now.

        The caller reports the end by record_confirmation() or end_confirming().
        """
        if not generation or self._is_confirming or now < self._confirm_due_at:
            return False
        self._is_confirming = not self.is_ready(generation, peers, now)
        return self._is_confirming

    def _is_confirmed(self, generation: int, peers: Sequence[Member]) -> bool:
        if not generation:
            return self._has_platform_replied or bool(peers)
        if any(peer.ready and peer.generation for peer in peers):
            return True
        confirmed = self._confirmed_generation
        return confirmed is not None and generation >= confirmed
