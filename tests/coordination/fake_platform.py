"""The platform's object API in memory, with scripted faults."""

from __future__ import annotations

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

# Faults: the call has no effect, or a put takes effect but is reported as failed.
DOWN = "down"
LOST_REPLY = "lost_reply"


class FakePlatform(PlatformInterface):
    """Stores objects; each get or put removes and applies the next of ``faults``.

    Attributes:
        faults: Faults of the next calls; None for a call without a fault.
        is_conditional: Whether a put with an outdated version is rejected.
        before_put: Called once, before the next put.
    """

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.faults = []
        self.calls = []
        self.is_conditional = True
        self.before_put: Callable[[], None] | None = None

    def get(self, kind, name):
        self.calls.append("get")
        if self._next_fault():
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        found = self.objects.get((kind, name))
        return Success(found) if found else _failure(ResultCode.PLATFORM_NOT_FOUND)

    def put(self, kind, name, value, expected_version):
        self.calls.append("put")
        if self.before_put is not None:
            hook, self.before_put = self.before_put, None
            hook()
        fault = self._next_fault()
        if fault == DOWN:
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        found = self.objects.get((kind, name))
        version = found.version if found else 0
        if self.is_conditional and version != expected_version:
            return _failure(ResultCode.PLATFORM_CONFLICT)
        self.version += 1
        written = PlatformObject(kind, name, self.version, value)
        self.objects[kind, name] = written
        if fault == LOST_REPLY:
            return _failure(ResultCode.PLATFORM_UNAVAILABLE)
        return Success(written)

    def list(self, kind):
        found = {
            name: stored
            for (stored_kind, name), stored in self.objects.items()
            if stored_kind == kind
        }
        return Success(ObjectList(found, self.version))

    def delete(self, kind, name, expected_version):
        self.objects.pop((kind, name), None)
        return Success(None)

    def watch(self, kind, after_version, wait_s):
        return Success(WatchEvents((), self.version))

    def list_instances(self):
        return Success(())

    def _next_fault(self):
        return self.faults.pop(0) if self.faults else None


def _failure(code):
    return Failure(PlatformError(f"platform said {code.name}", code))
