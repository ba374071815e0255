"""Interface to the platform: versioned objects, watches and the instance list."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from returns.result import Result

    from almondspool.errors import PlatformError

# Limit on the value of one object.
MAX_VALUE_BYTES = 1_000_000


class PlatformObject(NamedTuple):
    """A versioned object stored in the platform.

    Attributes:
        kind: For example ``section``.
        name: Unique within the kind.
        version: The platform-wide version of its last change.
        value: Its content, at most MAX_VALUE_BYTES.
        deleted: True in a watch event that reports a deletion.
    """

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


class ObjectList(NamedTuple):
    """Objects of a kind, and the version from which to watch for changes."""

    objects_by_name: dict[str, PlatformObject]
    version: int


class WatchEvents(NamedTuple):
    """Changes after a version, in order, and the version from which to resume."""

    events: tuple[PlatformObject, ...]
    version: int


class ListedInstance(NamedTuple):
    """An instance in the platform's list, which lags behind the actual state.

    Attributes:
        instance: Name of the instance.
        address: Its ``ip:port``.
        zone: Its availability zone.
        leaving: Whether it is shutting down.
    """

    instance: str
    address: str
    zone: str
    leaving: bool


class PlatformInterface(abc.ABC):
    """Calls to the platform.

    On failure, every method returns a PlatformError whose code is
    PLATFORM_UNAVAILABLE (a write may have taken effect), PLATFORM_CONFLICT,
    PLATFORM_NOT_FOUND, PLATFORM_RATE_LIMITED, PLATFORM_HISTORY_GONE,
    PLATFORM_REPLY_INVALID (a write may have taken effect) or REQUEST_TOO_LARGE.
    """

    @abc.abstractmethod
    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""

    @abc.abstractmethod
    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind."""

    @abc.abstractmethod
    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write one object if its version is the expected one; 0 creates it."""

    @abc.abstractmethod
    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete one object if its version is the expected one."""

    @abc.abstractmethod
    def watch(
        self, kind: str, after_version: int, wait_s: float
    ) -> Result[WatchEvents, PlatformError]:
        """Wait for changes of a kind after a version, at most wait_s seconds."""

    @abc.abstractmethod
    def list_instances(self) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Read the list of live and leaving instances, which may be outdated."""
