"""In-memory fake of the platform, with fault injection."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.protocol.platform import (
    ObjectList,
    PlatformInterface,
    PlatformObject,
    WatchEvents,
)

if TYPE_CHECKING:
    from collections.abc import Callable


class FakePlatform(PlatformInterface):
    """In-memory platform.

    Attributes:
        version: The platform-wide version of the last change.
        objects: Stored objects by kind and name.
        events: All changes, in order.
        listing: The instances that list_instances() returns.
        is_down: Every call fails and has no effect.
        lost_replies: How many of the next writes take effect but lose their reply.
        stale_objects: If set, get() and list() read this older copy.
        before_put: Called once, before the next write, to write concurrently.
        calls: Number of calls by method.
    """

    def __init__(self):
        self.version = 0
        self.objects: dict[tuple[str, str], PlatformObject] = {}
        self.events: list[PlatformObject] = []
        self.listing = ()
        self.is_down = False
        self.lost_replies = 0
        self.stale_objects: dict[tuple[str, str], PlatformObject] | None = None
        self.before_put: Callable[[str, str], None] | None = None
        self.calls: Counter[str] = Counter()

    def get(self, kind, name):
        if self._fails("get"):
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        found = self._readable_objects().get((kind, name))
        return Success(found) if found else _failure(ResultCode.PLATFORM_NOT_FOUND)

    def list(self, kind):
        if self._fails("list"):
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        by_name = {
            n: found for (k, n), found in self._readable_objects().items() if k == kind
        }
        return Success(ObjectList(by_name, self.version))

    def put(self, kind, name, value, expected_version):
        concurrent_put, self.before_put = self.before_put, None
        if concurrent_put is not None:
            concurrent_put(kind, name)
        if self._fails("put"):
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != expected_version:
            version = current.version if current else 0
            return _failure(ResultCode.PLATFORM_CONFLICT, version)
        written = self.force_put(kind, name, value)
        if self._loses_reply():
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        return Success(written)

    def force_put(self, kind, name, value):
        """Write without version check, faults or call count."""
        self.version += 1
        written = PlatformObject(kind, name, self.version, value)
        self.objects[kind, name] = written
        self.events.append(written)
        return written

    def delete(self, kind, name, expected_version):
        if self._fails("delete"):
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        current = self.objects.get((kind, name))
        if current is None:
            return _failure(ResultCode.PLATFORM_NOT_FOUND)
        if current.version != expected_version:
            return _failure(ResultCode.PLATFORM_CONFLICT, current.version)
        self.version += 1
        del self.objects[kind, name]
        self.events.append(PlatformObject(kind, name, self.version, b"", True))
        return Success(None)

    def watch(self, kind, after_version, wait_s):
        if self._fails("watch"):
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        events = [e for e in self.events if e.kind == kind]
        newer = tuple(e for e in events if e.version > after_version)
        return Success(WatchEvents(newer, max(after_version, self.version)))

    def list_instances(self):
        if self._fails("instances"):
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        return Success(self.listing)

    def _readable_objects(self):
        return self.objects if self.stale_objects is None else self.stale_objects

    def _fails(self, method):
        self.calls[method] += 1
        return self.is_down

    def _loses_reply(self):
        if self.lost_replies:
            self.lost_replies -= 1
            return True
        return False


def _failure(code, current_version=0):
    return Failure(PlatformError(code.name, code, current_version=current_version))
