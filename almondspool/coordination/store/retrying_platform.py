"""The platform for an operator's write, with retries of calls over the rate limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result

from almondspool.codes import ResultCode
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

    _Value = TypeVar("_Value")

# Maximum number of retries of one call.
MAX_RETRIES = 20
# Maximum delay before a retry, to which the jitter is added.
MAX_RETRY_DELAY_S = 1.0
MIN_JITTER_S = 0.05
MAX_JITTER_S = 0.15


class RetryingPlatform(PlatformInterface):
    """Retries calls that were not started because of the instance's own rate limit.

    Without these retries a write that takes several calls would start over at each
    refused call, and never complete while the limit is low, as it is after an outage.
    Calls that were started are never retried here.
    """

    def __init__(
        self,
        platform: PlatformInterface,
        rng: random.Random,
        sleep: Callable[[float], None],
    ) -> None:
        """Wrap a platform.

        Args:
            platform: The platform behind the rate limit.
            rng: Source of the jitter of retry delays.
            sleep: Sleeps for a number of seconds.
        """
        self._platform = platform
        self._rng = rng
        self._sleep = sleep

    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        return self._retry(lambda: self._platform.get(kind, name))

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind."""
        return self._retry(lambda: self._platform.list(kind))

    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write one object if it has the expected version; 0 to create it."""
        return self._retry(
            lambda: self._platform.put(kind, name, value, expected_version)
        )

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete one object if it has the expected version."""
        return self._retry(lambda: self._platform.delete(kind, name, expected_version))

    def watch(
        self, kind: str, after_version: int, wait_s: float
    ) -> Result[WatchEvents, PlatformError]:
        """Wait for changes of a kind after a version, at most wait_s seconds."""
        return self._retry(lambda: self._platform.watch(kind, after_version, wait_s))

    def list_instances(self) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Read the list of live and leaving instances, which may be out of date."""
        return self._retry(self._platform.list_instances)

    def _retry(
        self, call: Callable[[], Result[_Value, PlatformError]]
    ) -> Result[_Value, PlatformError]:
        result = call()
        for _ in range(MAX_RETRIES):
            if not _is_rate_limited(result):
                break
            delay_s = min(MAX_RETRY_DELAY_S, result.failure().retry_after_s)
            self._sleep(delay_s + self._rng.uniform(MIN_JITTER_S, MAX_JITTER_S))
            result = call()
        return result


def _is_rate_limited(result: Result[_Value, PlatformError]) -> bool:
    if not isinstance(result, Failure):
        return False
    error = result.failure()
    is_not_started = isinstance(error, CallNotStartedError)
    return is_not_started and error.code is ResultCode.PLATFORM_RATE_LIMITED
