"""Platform calls for the connection shares, made one at a time by a green thread."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from eventlet import queue
from returns.pipeline import is_successful

from almondspool.codes import ResultCode
from almondspool.coordination.shares.share_actions import ReadBucket, WriteBucket
from almondspool.protocol.shares import SHARES_KIND

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondspool.errors import PlatformError
    from almondspool.protocol.platform import PlatformInterface

# One list call replaces this many queued reads or more.
MIN_READS_FOR_LIST = 3


class ShareCallHandler(abc.ABC):
    """Receives the results of platform calls."""

    @abc.abstractmethod
    def on_read(self, name: str, version: int, value: bytes) -> None:
        """Handle a bucket that was read; version 0 if it does not exist."""

    @abc.abstractmethod
    def on_written(self, name: str, version: int, value: bytes) -> None:
        """Handle a successful write."""

    @abc.abstractmethod
    def on_failed(self, name: str, error: PlatformError) -> None:
        """Handle a failed read or write."""


class ShareCalls:
    """Executes queued reads and writes of buckets and reports their results."""

    def __init__(self, platform: PlatformInterface, handler: ShareCallHandler) -> None:
        """Initialize without calls."""
        self._platform = platform
        self._handler = handler
        self._inbox: queue.LightQueue = queue.LightQueue()

    def post(self, action: ReadBucket | WriteBucket) -> None:
        """Queue a read or write."""
        self._inbox.put(action)

    def run(self) -> None:
        """Execute calls forever."""
        while True:
            action = self._inbox.get()
            if isinstance(action, WriteBucket):
                self._write(action)
                continue
            names = [action.name, *self._drain_queued_reads()]
            if len(names) >= MIN_READS_FOR_LIST:
                self._list(names)
            else:
                for name in names:
                    self._read(name)

    def _drain_queued_reads(self) -> list[str]:
        """Remove queued reads and return their buckets; writes stay queued."""
        queued = [self._inbox.get() for _ in range(self._inbox.qsize())]
        for action in queued:
            if isinstance(action, WriteBucket):
                self._inbox.put(action)
        return [action.name for action in queued if isinstance(action, ReadBucket)]

    def _list(self, names: Sequence[str]) -> None:
        result = self._platform.list(SHARES_KIND)
        if not is_successful(result):
            for name in names:
                self._handler.on_failed(name, result.failure())
            return
        objects_by_name = result.unwrap().objects_by_name
        for name in names:
            found = objects_by_name.get(name)
            if found is None:
                self._handler.on_read(name, 0, b"")
            else:
                self._handler.on_read(name, found.version, found.value)

    def _read(self, name: str) -> None:
        result = self._platform.get(SHARES_KIND, name)
        if is_successful(result):
            found = result.unwrap()
            self._handler.on_read(name, found.version, found.value)
        elif result.failure().code == ResultCode.PLATFORM_NOT_FOUND:
            self._handler.on_read(name, 0, b"")
        else:
            self._handler.on_failed(name, result.failure())

    def _write(self, action: WriteBucket) -> None:
        result = self._platform.put(
            SHARES_KIND, action.name, action.value, action.expected_version
        )
        if is_successful(result):
            version = result.unwrap().version
            self._handler.on_written(action.name, version, action.value)
        else:
            self._handler.on_failed(action.name, result.failure())
