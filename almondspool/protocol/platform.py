"""The platform's interface: versioned objects, watches and the instance list."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from returns.result import Result

    from almondspool.errors import PlatformError

MAX_VALUE_BYTES = 1_000_000


class PlatformObject(NamedTuple):
    """One object of the platform.

    Attributes:
        kind: The object's kind, for example ``section``.
        name: Its name, unique within the kind.
        version: The platform-wide version of its last change.
        value: Its content; at most MAX_VALUE_BYTES.
        deleted: True in a watch event that reports a deletion.
    """

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


class ObjectList(NamedTuple):
    """Objects of a kind and the version from which a watch resumes."""

    objects_by_name: dict[str, PlatformObject]
    version: int


class WatchEvents(NamedTuple):
    """Changes after a version, in order, and the version to resume from."""

    events: tuple[PlatformObject, ...]
    version: int


class InstanceListing(NamedTuple):
    """An entry of the platform's lagging list of instances."""

    instance: str
    address: str
    zone: str
    leaving: bool


class PlatformInterface(abc.ABC):
    """Calls to the platform.

    Every method returns a failure with a PlatformError whose code is
    PLATFORM_UNAVAILABLE (the effect is unknown for writes), PLATFORM_CONFLICT,
    PLATFORM_NOT_FOUND, PLATFORM_RATE_LIMITED, PLATFORM_HISTORY_GONE,
    PLATFORM_REPLY_INVALID (the effect is unknown for writes) or REQUEST_TOO_LARGE.
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
        """Write one object if its version is the expected one; 0 to create."""

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
    def instances(self) -> Result[tuple[InstanceListing, ...], PlatformError]:
        """Read the lagging list of live and leaving instances."""
