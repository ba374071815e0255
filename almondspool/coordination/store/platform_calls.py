"""The platform behind one circuit breaker, with calls counted and rate-limited."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from almondspool.codes import ResultCode
from almondspool.coordination.store.platform_circuit import (
    CallOutcome,
    CallRefusal,
    PlatformCircuit,
    Refusal,
)
from almondspool.errors import CallNotStartedError, PlatformError
from almondspool.protocol.platform import (
    ListedInstance,
    ObjectList,
    PlatformInterface,
    PlatformObject,
    WatchEvents,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from typing import TypeVar

    from almondspool.logs import EventLog
    from almondspool.transport.timers import TimerService

    _Value = TypeVar("_Value")

_CODE_BY_REFUSAL = {
    Refusal.CIRCUIT_OPEN: ResultCode.PLATFORM_UNAVAILABLE,
    Refusal.RATE_CAP: ResultCode.PLATFORM_RATE_LIMITED,
}
_OUTCOME_BY_CODE = {
    ResultCode.PLATFORM_UNAVAILABLE: CallOutcome.UNAVAILABLE,
    ResultCode.PLATFORM_RATE_LIMITED: CallOutcome.RATE_LIMITED,
}
# Bounds of one instance's share of the fleet's limit of calls per second.
MIN_CALLS_PER_S = 1.0
MAX_CALLS_PER_S = 60.0


def instance_calls_per_s(total_per_s: float, instances: int) -> float:
    """Return one instance's limit of calls per second, within its bounds.

    Args:
        total_per_s: Limit of calls per second of all instances together.
        instances: How many instances share it.
    """
    limit_per_s = total_per_s / max(1, instances)
    return min(MAX_CALLS_PER_S, max(MIN_CALLS_PER_S, limit_per_s))


def make_platform_calls(
    platform: PlatformInterface,
    timers: TimerService,
    log: EventLog,
    calls_per_s: float,
    rng: random.Random,
) -> PlatformCalls:
    """Return a platform with a circuit breaker, counters and a rate limit.

    Args:
        platform: The platform's client.
        timers: The timer service.
        log: Gets a line for each change of the circuit's state.
        calls_per_s: Limit of calls started per second.
        rng: Source of the back-off's jitter.
    """
    return PlatformCalls(platform, timers, log, PlatformCircuit(calls_per_s, rng))


class PlatformCalls(PlatformInterface):
    """Forwards calls to the platform if the circuit and the rate limit allow it.

    Attributes:
        calls_by_method: Number of calls that were started, by method.
        refusals_by_reason: Number of calls that were not started, by reason.
    """

    def __init__(
        self,
        platform: PlatformInterface,
        timers: TimerService,
        log: EventLog,
        circuit: PlatformCircuit,
    ) -> None:
        """Forward calls to ``platform`` while ``circuit`` admits them."""
        self._platform = platform
        self._timers = timers
        self._log = log
        self._circuit = circuit
        self.calls_by_method: Counter[str] = Counter()
        self.refusals_by_reason: Counter[str] = Counter()

    def set_rate(self, calls_per_s: float) -> None:
        """Set the limit of calls started per second."""
        self._circuit.set_rate(self._timers.now(), calls_per_s)

    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        return self._call("get", lambda _: self._platform.get(kind, name))

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind."""
        return self._call("list", lambda _: self._platform.list(kind))

    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write one object if it has the expected version; 0 to create it."""
        return self._call(
            "put", lambda _: self._platform.put(kind, name, value, expected_version)
        )

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete one object if it has the expected version."""
        return self._call(
            "delete", lambda _: self._platform.delete(kind, name, expected_version)
        )

    def watch(
        self, kind: str, after_version: int, wait_s: float
    ) -> Result[WatchEvents, PlatformError]:
        """Wait for changes of a kind after a version, at most wait_s seconds.

        The probe of a half-open circuit does not wait for changes.
        """
        return self._call(
            "watch",
            lambda is_probe: self._platform.watch(
                kind, after_version, 0.0 if is_probe else wait_s
            ),
        )

    def list_instances(self) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Read the list of live and leaving instances, which may be out of date."""
        return self._call("instances", lambda _: self._platform.list_instances())

    def _call(
        self, method: str, call: Callable[[bool], Result[_Value, PlatformError]]
    ) -> Result[_Value, PlatformError]:
        decision = self._circuit.admit(self._timers.now())
        if isinstance(decision, CallRefusal):
            return Failure(self._refuse(method, decision))
        self.calls_by_method[method] += 1
        result = call(decision.is_probe)
        state = self._circuit.state
        outcome, retry_after_s = _classify(result)
        self._circuit.record(self._timers.now(), decision, outcome, retry_after_s)
        if self._circuit.state is not state:
            self._log.write(
                "platform.circuit",
                state=self._circuit.state,
                was=state,
                method=method,
                outcome=outcome.value,
            )
        return result

    def _refuse(self, method: str, refusal: CallRefusal) -> PlatformError:
        self.refusals_by_reason[refusal.reason] += 1
        return CallNotStartedError(
            f"platform call {method} not started: {refusal.reason},"
            f" again in {refusal.retry_after_s:.1f} s",
            _CODE_BY_REFUSAL[refusal.reason],
            retry_after_s=refusal.retry_after_s,
        )


def _classify(
    result: Result[_Value, PlatformError],
) -> tuple[CallOutcome, float]:
    if isinstance(result, Success):
        return CallOutcome.ANSWERED, 0.0
    error = result.failure()
    outcome = _OUTCOME_BY_CODE.get(error.code, CallOutcome.ANSWERED)
    return outcome, error.retry_after_s
