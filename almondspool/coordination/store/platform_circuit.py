"""Circuit breaker and rate limit of calls to the platform."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

FAILURES_TO_OPEN = 3
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0
MAX_PROBE_S = 30.0
RAMP_S = 10.0
RAMP_START_SHARE = 0.1


class CircuitState(enum.StrEnum):
    """State of the circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CallOutcome(enum.Enum):
    """What the outcome of a call shows about the platform as a whole."""

    ANSWERED = "answered"
    UNAVAILABLE = "unavailable"
    RATE_LIMITED = "rate_limited"


class Refusal(enum.StrEnum):
    """Why a call may not start."""

    CIRCUIT_OPEN = "circuit_open"
    RATE_CAP = "rate_cap"


class CallPermit(NamedTuple):
    """Permit to start one call, returned with the call's outcome.

    Attributes:
        epoch: Number of the circuit's state; outcomes from an older one are ignored.
        is_probe: Whether it is the only call of a half-open circuit.
    """

    epoch: int
    is_probe: bool


class CallRefusal(NamedTuple):
    """A call that may not start, and the delay before a retry, in seconds."""

    reason: Refusal
    retry_after_s: float


class PlatformCircuit:
    """One circuit breaker and one token bucket in front of all platform calls.

    After an outage a single probe is let through; when it succeeds the rate grows
    from a tenth of the limit to the full limit within RAMP_S, with an empty bucket.
    """

    def __init__(self, calls_per_s: float, rng: random.Random) -> None:
        """Start closed, with a full bucket.

        Args:
            calls_per_s: Limit of calls started per second.
            rng: Source of the back-off's jitter.
        """
        self._calls_per_s = calls_per_s
        self._rng = rng
        self._state = CircuitState.CLOSED
        self._epoch = 0
        self._failures = 0
        self._open_count = 0
        self._retry_at = 0.0
        self._probe_until = 0.0
        self._ramp_start: float | None = None
        self._tokens = max(1.0, calls_per_s)
        self._refilled_at: float | None = None

    @property
    def state(self) -> CircuitState:
        """The state after the last call of admit or record."""
        return self._state

    def set_rate(self, now: float, calls_per_s: float) -> None:
        """Set the rate limit; tokens in excess of the new one are discarded."""
        self._refill(now)
        self._calls_per_s = calls_per_s
        self._tokens = min(self._tokens, max(1.0, self._rate(now)))

    def admit(self, now: float) -> CallPermit | CallRefusal:
        """Decide whether a call may start at monotonic second ``now``."""
        if self._state is CircuitState.OPEN and now >= self._retry_at:
            self._set_state(CircuitState.HALF_OPEN)
            self._probe_until = now
        if self._state is CircuitState.OPEN:
            return CallRefusal(Refusal.CIRCUIT_OPEN, self._retry_at - now)
        if self._state is CircuitState.HALF_OPEN:
            return self._admit_probe(now)
        self._refill(now)
        if self._tokens < 1.0:
            wait_s = (1.0 - self._tokens) / self._rate(now)
            return CallRefusal(Refusal.RATE_CAP, wait_s)
        self._tokens -= 1.0
        return CallPermit(self._epoch, is_probe=False)

    def record(
        self,
        now: float,
        permit: CallPermit,
        outcome: CallOutcome,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record the outcome of a call.

        Args:
            now: Monotonic seconds.
            permit: The call's permit.
            outcome: What it shows about the platform.
            retry_after_s: The delay that the platform asked for, in seconds.
        """
        if permit.epoch != self._epoch:
            return
        if outcome is CallOutcome.ANSWERED:
            self._record_answer(now, permit)
        elif outcome is CallOutcome.RATE_LIMITED or permit.is_probe:
            self._open(now, retry_after_s)
        else:
            self._failures += 1
            if self._failures >= FAILURES_TO_OPEN:
                self._open(now, retry_after_s)

    def _admit_probe(self, now: float) -> CallPermit | CallRefusal:
        if now < self._probe_until:
            return CallRefusal(Refusal.CIRCUIT_OPEN, self._probe_until - now)
        self._probe_until = now + MAX_PROBE_S
        return CallPermit(self._epoch, is_probe=True)

    def _record_answer(self, now: float, permit: CallPermit) -> None:
        self._failures = 0
        if permit.is_probe:
            self._set_state(CircuitState.CLOSED)
            self._open_count = 0
            self._ramp_start = now
            self._tokens = 0.0
            self._refilled_at = now

    def _open(self, now: float, retry_after_s: float) -> None:
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._open_count)
        wait_s = max(backoff_s, retry_after_s) * self._rng.uniform(0.75, 1.25)
        self._open_count += 1
        self._failures = 0
        self._retry_at = now + wait_s
        self._set_state(CircuitState.OPEN)

    def _set_state(self, state: CircuitState) -> None:
        self._state = state
        self._epoch += 1

    def _rate(self, now: float) -> float:
        if self._ramp_start is None:
            return self._calls_per_s
        progress = min(1.0, (now - self._ramp_start) / RAMP_S)
        share = RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * progress
        return self._calls_per_s * share

    def _refill(self, now: float) -> None:
        elapsed_s = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        limit = max(1.0, self._rate(now))
        self._tokens = min(limit, self._tokens + elapsed_s * self._rate(now))
