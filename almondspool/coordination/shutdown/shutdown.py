"""State machine of a graceful shutdown, from the first stop signal to the exit."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.membership.entries import max_ttl_s

if TYPE_CHECKING:
    from collections.abc import Sequence

# Maximum duration of GiveBack; the process exits after it in any case.
RELEASE_TIMEOUT_S = 15.0


class ShutdownPhase(enum.StrEnum):
    """Phase of a graceful shutdown.

    Attributes:
        RUNNING: No stop signal was received.
        LEAVING: New requests are served until cached addresses expire.
        DRAINING: New requests are refused; those in flight may finish.
        GIVING_BACK: Claims and connection shares are released.
        STOPPED: The process exits.
    """

    RUNNING = "running"
    LEAVING = "leaving"
    DRAINING = "draining"
    GIVING_BACK = "giving_back"
    STOPPED = "stopped"


class AnnounceLeaving(NamedTuple):
    """Announce to peers and the platform that this instance leaves."""


class GiveBack(NamedTuple):
    """Finish claims and release connection shares, then call on_released()."""


class CutOff(NamedTuple):
    """Log the requests that are cut off.

    Attributes:
        code: INTERRUPTED.
        reason: Reason for cutting them off.
        request_ids: Ids of the requests.
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
    """Time limits of a graceful shutdown, in seconds.

    Attributes:
        spread_s: Time until all instances know that this one leaves.
        entry_ttl_s: How long callers may cache an entry list, without jitter.
        drain_s: Maximum wait for requests in flight.
    """

    spread_s: float
    entry_ttl_s: float
    drain_s: float


class Shutdown:
    """State machine of a graceful shutdown: takes signals and ticks, returns actions.

    New requests are served until the addresses that callers have cached expire, and
    refused after that and if they might outlast the drain; requests in flight are
    drained; claims and connection shares are released last.

    Attributes:
        phase: Current phase.
    """

    def __init__(self) -> None:
        """Initialize in phase RUNNING."""
        self.phase = ShutdownPhase.RUNNING
        self._settings = ShutdownSettings(0.0, 0.0, 0.0)
        self._phase_ends_at = 0.0
        self._exit_code = ResultCode.OK

    def accepts_requests(self) -> bool:
        """Return whether new requests are served, not refused as NOT_RUN_LEAVING."""
        return self.phase in (ShutdownPhase.RUNNING, ShutdownPhase.LEAVING)

    def may_finish(self, now: float, deadline_s: float) -> bool:
        """Return whether a new request will be answered even if it takes all its time.

        Args:
            now: Monotonic seconds.
            deadline_s: Time until the request's deadline, in seconds.
        """
        if self.phase == ShutdownPhase.LEAVING:
            drain_ends_at = self._phase_ends_at + self._settings.drain_s
            return now + deadline_s <= drain_ends_at
        return self.accepts_requests()

    def begin(self, settings: ShutdownSettings, now: float) -> list[Action]:
        """Handle the first stop signal; later calls have no effect.

        Args:
            settings: Time limits of the shutdown.
            now: Monotonic seconds.
        """
        if self.phase != ShutdownPhase.RUNNING:
            return []
        self._settings = settings
        leaving_s = settings.spread_s + max_ttl_s(settings.entry_ttl_s)
        self._enter_phase(ShutdownPhase.LEAVING, now + leaving_s)
        return [AnnounceLeaving()]

    def tick(self, in_flight: Sequence[str], now: float) -> list[Action]:
        """Advance to the next phase when the current one is over.

        Args:
            in_flight: Ids of the requests without an answer.
            now: Monotonic seconds.
        """
        if self.phase == ShutdownPhase.LEAVING and now >= self._phase_ends_at:
            self._enter_phase(ShutdownPhase.DRAINING, now + self._settings.drain_s)
        if self.phase == ShutdownPhase.DRAINING:
            return self._drain(in_flight, now)
        if self.phase == ShutdownPhase.GIVING_BACK and now >= self._phase_ends_at:
            return self.on_released()
        return []

    def on_released(self) -> list[Action]:
        """Handle the end of GiveBack or its timeout, whichever comes first."""
        if self.phase != ShutdownPhase.GIVING_BACK:
            return []
        self.phase = ShutdownPhase.STOPPED
        return [Exit(self._exit_code)]

    def interrupt(self, in_flight: Sequence[str]) -> list[Action]:
        """Handle the second stop signal: exit at once, listing the requests cut off."""
        if self.phase == ShutdownPhase.STOPPED:
            return []
        self.phase = ShutdownPhase.STOPPED
        cut_off = CutOff(ResultCode.INTERRUPTED, "second stop signal", tuple(in_flight))
        return [cut_off, Exit(ResultCode.INTERRUPTED)]

    def _drain(self, in_flight: Sequence[str], now: float) -> list[Action]:
        if in_flight and now < self._phase_ends_at:
            return []
        self._enter_phase(ShutdownPhase.GIVING_BACK, now + RELEASE_TIMEOUT_S)
        if not in_flight:
            return [GiveBack()]
        self._exit_code = ResultCode.INTERRUPTED
        reason = f"still in flight after {self._settings.drain_s:g} s"
        return [CutOff(self._exit_code, reason, tuple(in_flight)), GiveBack()]

    def _enter_phase(self, phase: ShutdownPhase, ends_at: float) -> None:
        self.phase = phase
        self._phase_ends_at = ends_at
