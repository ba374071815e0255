"""Planned stop: what an instance does from the first signal to its exit."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.membership.entries import max_ttl_s

if TYPE_CHECKING:
    from collections.abc import Sequence

RELEASE_TIMEOUT_S = 15.0


class ShutdownPhase(enum.StrEnum):
    """How far a planned stop is."""

    RUNNING = "running"
    LEAVING = "leaving"
    DRAINING = "draining"
    GIVING_BACK = "giving_back"
    STOPPED = "stopped"


class AnnounceLeaving(NamedTuple):
    """Tell peers and platform that this instance leaves."""


class GiveBack(NamedTuple):
    """Release claims and connection shares, then call on_released()."""


class CutOff(NamedTuple):
    """Log the requests that are cut off.

    Attributes:
        code: INTERRUPTED.
        reason: Why they are cut off.
        request_ids: Their ids.
    """

    code: ResultCode
    reason: str
    request_ids: tuple[str, ...]


class Exit(NamedTuple):
    """End the process.

    Attributes:
        code: OK, or INTERRUPTED if requests were cut off.
    """

    code: ResultCode


Action = AnnounceLeaving | GiveBack | CutOff | Exit


class ShutdownSettings(NamedTuple):
    """Times of a planned stop, in seconds.

    Attributes:
        spread_s: Time in which all instances learn that this one leaves.
        entry_ttl_s: How long callers may keep an entry list, without jitter.
        drain_s: Longest wait for requests in flight.
    """

    spread_s: float
    entry_ttl_s: float
    drain_s: float


class Shutdown:
    """Takes signals and ticks, returns actions.

    New requests are served while given-out addresses live and refused after that;
    requests in flight are waited for; leases and shares are given back last.
    """

    def __init__(self) -> None:
        """Start running."""
        self.phase = ShutdownPhase.RUNNING
        self._settings = ShutdownSettings(0.0, 0.0, 0.0)
        self._phase_ends_at = 0.0
        self._exit_code = ResultCode.OK

    def accepts_new(self) -> bool:
        """Return whether new requests are served, else refuse: NOT_RUN_LEAVING."""
        return self.phase in (ShutdownPhase.RUNNING, ShutdownPhase.LEAVING)

    def begin(self, settings: ShutdownSettings, now: float) -> list[Action]:
        """Take the first stop signal; idempotent."""
        if self.phase != ShutdownPhase.RUNNING:
            return []
        self._settings = settings
        served_s = settings.spread_s + max_ttl_s(settings.entry_ttl_s)
        self._enter(ShutdownPhase.LEAVING, now + served_s)
        return [AnnounceLeaving()]

    def tick(self, in_flight: Sequence[str], now: float) -> list[Action]:
        """Move on when the phase is over.

        Args:
            in_flight: Ids of the requests that have no answer yet.
            now: Monotonic seconds.
        """
        if self.phase == ShutdownPhase.LEAVING and now >= self._phase_ends_at:
            self._enter(ShutdownPhase.DRAINING, now + self._settings.drain_s)
        if self.phase == ShutdownPhase.DRAINING:
            return self._drain(in_flight, now)
        if self.phase == ShutdownPhase.GIVING_BACK and now >= self._phase_ends_at:
            return self.on_released()
        return []

    def on_released(self) -> list[Action]:
        """Take the end of GiveBack, or its timeout."""
        if self.phase != ShutdownPhase.GIVING_BACK:
            return []
        self.phase = ShutdownPhase.STOPPED
        return [Exit(self._exit_code)]

    def interrupt(self, in_flight: Sequence[str]) -> list[Action]:
        """Take the second stop signal: exit at once and say what is cut off."""
        if self.phase == ShutdownPhase.STOPPED:
            return []
        self.phase = ShutdownPhase.STOPPED
        cut = CutOff(ResultCode.INTERRUPTED, "second stop signal", tuple(in_flight))
        return [cut, Exit(ResultCode.INTERRUPTED)]

    def _drain(self, in_flight: Sequence[str], now: float) -> list[Action]:
        if in_flight and now < self._phase_ends_at:
            return []
        self._enter(ShutdownPhase.GIVING_BACK, now + RELEASE_TIMEOUT_S)
        if not in_flight:
            return [GiveBack()]
        self._exit_code = ResultCode.INTERRUPTED
        reason = f"still in flight after {self._settings.drain_s:g} s"
        return [CutOff(self._exit_code, reason, tuple(in_flight)), GiveBack()]

    def _enter(self, phase: ShutdownPhase, ends_at: float) -> None:
        self.phase = phase
        self._phase_ends_at = ends_at
