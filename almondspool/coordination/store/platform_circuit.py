"""Circuit breaker and rate limit of calls to the platform."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

CONSECUTIVE_FAILURES_TO_OPEN = 3
# How long the circuit stays open the first time, before jitter. The time doubles with
# each probe that fails, up to the maximum. The platform may ask for a longer one.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0
# How long to wait for the outcome of a probe before another one may start.
PROBE_TIMEOUT_S = 30.0
# After an outage the rate grows linearly to the limit within this time, from this
# fraction of the limit.
RAMP_UP_S = 10.0
RAMP_START_FRACTION = 0.1


class CircuitState(enum.StrEnum):
    """State of the circuit breaker.

    Calls may start while it is closed, none while it is open, and a single one, the
    probe, while it is half-open.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CallOutcome(enum.Enum):
    """What the outcome of a call shows about the platform as a whole.

    An error that concerns the call alone, such as a conflict, counts as an answer.
    """

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
        state_number: Number of the circuit's state changes when the call started; the
            outcome is ignored if the state has changed since.
        is_probe: Whether the call is the probe of a half-open circuit.
    """

    state_number: int
    is_probe: bool


class CallRefusal(NamedTuple):
    """A call that may not start.

    Attributes:
        reason: Why it may not.
        retry_after_s: The delay before a retry, in seconds.
    """

    reason: Refusal
    retry_after_s: float


class PlatformCircuit:
    """One circuit breaker and one token bucket in front of all platform calls.

    The circuit opens after CONSECUTIVE_FAILURES_TO_OPEN failed calls, or at once when
    the platform limits the rate. After the back-off a single probe is let through. When
    it succeeds, the bucket is emptied, and the rate grows from a tenth of the limit to
    the full limit within RAMP_UP_S.
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
        self._state_number = 0
        self._consecutive_failures = 0
        self._consecutive_open_count = 0
        self._retry_at = 0.0
        self._probe_expires_at = 0.0
        self._ramp_started_at: float | None = None
        self._tokens = max(1.0, calls_per_s)
        self._refilled_at: float | None = None

    @property
    def state(self) -> CircuitState:
        """The state after the last call of admit or record."""
        return self._state

    def set_rate(self, now: float, calls_per_s: float) -> None:
        """Set the limit of calls started per second; excess tokens are discarded."""
        self._refill(now)
        self._calls_per_s = calls_per_s
        self._tokens = min(self._tokens, max(1.0, self._rate_per_s(now)))

    def admit(self, now: float) -> CallPermit | CallRefusal:
        """Decide whether a call may start now.

        Args:
            now: Monotonic seconds.

        Returns:
            A permit to pass to record() with the outcome, or the refusal.
        """
        if self._state is CircuitState.OPEN and now >= self._retry_at:
            self._set_state(CircuitState.HALF_OPEN)
            self._probe_expires_at = now
        if self._state is CircuitState.OPEN:
            return CallRefusal(Refusal.CIRCUIT_OPEN, self._retry_at - now)
        if self._state is CircuitState.HALF_OPEN:
            return self._admit_probe(now)
        self._refill(now)
        if self._tokens < 1.0:
            wait_s = (1.0 - self._tokens) / self._rate_per_s(now)
            return CallRefusal(Refusal.RATE_CAP, wait_s)
        self._tokens -= 1.0
        return CallPermit(self._state_number, is_probe=False)

    def record(
        self,
        now: float,
        permit: CallPermit,
        outcome: CallOutcome,
        retry_after_s: float = 0.0,
    ) -> None:
        """Record the outcome of a call that admit() let start.

        Args:
            now: Monotonic seconds.
            permit: The call's permit.
            outcome: What it shows about the platform.
            retry_after_s: The delay that the platform asked for, in seconds.
        """
        if permit.state_number != self._state_number:
            return
        if outcome is CallOutcome.ANSWERED:
            self._record_answer(now, permit)
        elif outcome is CallOutcome.RATE_LIMITED or permit.is_probe:
            self._open(now, retry_after_s)
        else:
            self._consecutive_failures += 1
            if self._consecutive_failures >= CONSECUTIVE_FAILURES_TO_OPEN:
                self._open(now, retry_after_s)

    def _admit_probe(self, now: float) -> CallPermit | CallRefusal:
        if now < self._probe_expires_at:
            return CallRefusal(Refusal.CIRCUIT_OPEN, self._probe_expires_at - now)
        self._probe_expires_at = now + PROBE_TIMEOUT_S
        return CallPermit(self._state_number, is_probe=True)

    def _record_answer(self, now: float, permit: CallPermit) -> None:
        self._consecutive_failures = 0
        if permit.is_probe:
            self._set_state(CircuitState.CLOSED)
            self._consecutive_open_count = 0
            self._ramp_started_at = now
            self._tokens = 0.0
            self._refilled_at = now

    def _open(self, now: float, retry_after_s: float) -> None:
        backoff_s = min(
            MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._consecutive_open_count
        )
        wait_s = max(backoff_s, retry_after_s) * self._rng.uniform(0.75, 1.25)
        self._consecutive_open_count += 1
        self._consecutive_failures = 0
        self._retry_at = now + wait_s
        self._set_state(CircuitState.OPEN)

    def _set_state(self, state: CircuitState) -> None:
        self._state = state
        self._state_number += 1

    def _rate_per_s(self, now: float) -> float:
        if self._ramp_started_at is None:
            return self._calls_per_s
        progress = min(1.0, (now - self._ramp_started_at) / RAMP_UP_S)
        fraction = RAMP_START_FRACTION + (1.0 - RAMP_START_FRACTION) * progress
        return self._calls_per_s * fraction

    def _refill(self, now: float) -> None:
        elapsed_s = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        limit = max(1.0, self._rate_per_s(now))
        self._tokens = min(limit, self._tokens + elapsed_s * self._rate_per_s(now))
