"""The platform for an operator's write: waits for our own rate cap to let calls by."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result

from almondspool.codes import ResultCode
from almondspool.errors import CallNotStartedError, PlatformError
from almondspool.protocol.platform import (
    InstanceListing,
    ObjectList,
    PlatformInterface,
    PlatformObject,
    WatchEvents,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from typing import TypeVar

    _Value = TypeVar("_Value")

MAX_WAITS = 20
MAX_WAIT_S = 1.0
MIN_JITTER_S = 0.05
MAX_JITTER_S = 0.15


class PatientPlatform(PlatformInterface):
    """Repeats calls that our own rate cap did not start.

    Without it a write of a few calls would begin anew at each one refused, and never
    end while the cap is low, as after an outage. Calls that were started are never
    repeated here.
    """

    def __init__(
        self,
        platform: PlatformInterface,
        rng: random.Random,
        pause: Callable[[float], None],
    ) -> None:
        """Wait by ``pause``, which sleeps for a number of seconds, with jitter."""
        self._platform = platform
        self._rng = rng
        self._pause = pause

    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        return self._repeat(lambda: self._platform.get(kind, name))

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind."""
        return self._repeat(lambda: self._platform.list(kind))

    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write one object if its version is the expected one; 0 to create."""
        return self._repeat(
            lambda: self._platform.put(kind, name, value, expected_version)
        )

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete one object if its version is the expected one."""
        return self._repeat(lambda: self._platform.delete(kind, name, expected_version))

    def watch(
        self, kind: str, after_version: int, wait_s: float
    ) -> Result[WatchEvents, PlatformError]:
        """Wait for changes of a kind after a version, at most wait_s seconds."""
        return self._repeat(lambda: self._platform.watch(kind, after_version, wait_s))

    def instances(self) -> Result[tuple[InstanceListing, ...], PlatformError]:
        """Read the lagging list of live and leaving instances."""
        return self._repeat(self._platform.instances)

    def _repeat(
        self, call: Callable[[], Result[_Value, PlatformError]]
    ) -> Result[_Value, PlatformError]:
        result = call()
        for _ in range(MAX_WAITS):
            if not _is_over_cap(result):
                break
            wait_s = min(MAX_WAIT_S, result.failure().retry_after_s)
            self._pause(wait_s + self._rng.uniform(MIN_JITTER_S, MAX_JITTER_S))
            result = call()
        return result


def _is_over_cap(result: Result[_Value, PlatformError]) -> bool:
    if not isinstance(result, Failure):
        return False
    error = result.failure()
    is_refused = isinstance(error, CallNotStartedError)
    return is_refused and error.code is ResultCode.PLATFORM_RATE_LIMITED
