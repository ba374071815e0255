"""Whether an instance that started may serve by the document that it has."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondspool.state.members import Member

CONFIRM_RETRY_S = 2.0


class Readiness:
    """Collects what confirms that the document is the accepted one.

    Reads of the platform may be stale, so they do not count. A conditional write
    does: it succeeds only on the version that is current. A peer that serves does
    too, as its own document was confirmed.

    Attributes:
        is_settled: Whether the instance was ready once; it then stays so.
    """

    def __init__(self, ready_from: float) -> None:
        """Start unconfirmed.

        Args:
            ready_from: Monotonic seconds until which peers are heard first.
        """
        self._ready_from = ready_from
        self.is_settled = False
        self._was_platform_heard = False
        self._confirmed_generation: int | None = None
        self._is_confirming = False
        self._confirm_due = ready_from

    def platform_heard(self) -> None:
        """Take note that the platform answered a read of the manifest."""
        self._was_platform_heard = True

    def confirmed(self, generation: int, now: float) -> None:
        """Take note that the platform's current generation is this one."""
        self.confirm_failed(now)
        self._confirmed_generation = generation

    def confirm_failed(self, now: float) -> None:
        """Take note that an attempt to confirm has ended."""
        self._is_confirming = False
        self._confirm_due = now + CONFIRM_RETRY_S

    def is_ready(self, generation: int, peers: Sequence[Member], now: float) -> bool:
        """Return whether the instance may serve.

        Args:
            generation: Of the document in force here, 0 for none.
            peers: The other instances that are not dead.
            now: Monotonic seconds.
        """
        if not self.is_settled and now >= self._ready_from:
            is_behind = any(peer.generation > generation for peer in peers)
            is_known = self._is_known(generation, peers)
            self.is_settled = is_known and not is_behind
        return self.is_settled

    def begin_confirming(
        self, generation: int, peers: Sequence[Member], now: float
    ) -> bool:
        """Return whether to confirm the document at the platform now.

        The end is told by confirmed() or confirm_failed().
        """
        if not generation or self._is_confirming or now < self._confirm_due:
            return False
        self._is_confirming = not self.is_ready(generation, peers, now)
        return self._is_confirming

    def _is_known(self, generation: int, peers: Sequence[Member]) -> bool:
        if not generation:
            return self._was_platform_heard or bool(peers)
        if any(peer.ready and peer.generation for peer in peers):
            return True
        confirmed = self._confirmed_generation
        return confirmed is not None and generation >= confirmed
