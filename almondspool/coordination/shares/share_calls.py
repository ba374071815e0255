"""Platform calls of the connection shares, one at a time on a green thread."""

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

# From so many waiting reads on, one list call takes their place.
READS_FOR_LIST = 3


class ShareCallResults(abc.ABC):
    """Takes the results of the calls."""

    @abc.abstractmethod
    def on_read(self, name: str, version: int, value: bytes) -> None:
        """Take a bucket as the platform has it; version 0 if it has none."""

    @abc.abstractmethod
    def on_written(self, name: str, version: int, value: bytes) -> None:
        """Take the success of a write."""

    @abc.abstractmethod
    def on_failed(self, name: str, error: PlatformError) -> None:
        """Take the failure of a read or write."""


class ShareCalls:
    """Executes reads and writes of buckets in the order they were posted."""

    def __init__(self, platform: PlatformInterface, results: ShareCallResults) -> None:
        """Start without calls."""
        self._platform = platform
        self._results = results
        self._inbox: queue.LightQueue = queue.LightQueue()

    def post(self, action: ReadBucket | WriteBucket) -> None:
        """Queue one call."""
        self._inbox.put(action)

    def run(self) -> None:
        """Make the calls for ever."""
        while True:
            action = self._inbox.get()
            if isinstance(action, WriteBucket):
                self._write(action)
                continue
            names = [action.name, *self._waiting_reads()]
            if len(names) >= READS_FOR_LIST:
                self._list(names)
            else:
                for name in names:
                    self._read(name)

    def _waiting_reads(self) -> list[str]:
        waiting = [self._inbox.get() for _ in range(self._inbox.qsize())]
        for action in waiting:
            if isinstance(action, WriteBucket):
                self._inbox.put(action)
        return [action.name for action in waiting if isinstance(action, ReadBucket)]

    def _list(self, names: Sequence[str]) -> None:
        result = self._platform.list(SHARES_KIND)
        if not is_successful(result):
            for name in names:
                self._results.on_failed(name, result.failure())
            return
        objects_by_name = result.unwrap().objects_by_name
        for name in names:
            found = objects_by_name.get(name)
            if found is None:
                self._results.on_read(name, 0, b"")
            else:
                self._results.on_read(name, found.version, found.value)

    def _read(self, name: str) -> None:
        result = self._platform.get(SHARES_KIND, name)
        if is_successful(result):
            found = result.unwrap()
            self._results.on_read(name, found.version, found.value)
        elif result.failure().code == ResultCode.PLATFORM_NOT_FOUND:
            self._results.on_read(name, 0, b"")
        else:
            self._results.on_failed(name, result.failure())

    def _write(self, action: WriteBucket) -> None:
        result = self._platform.put(
            SHARES_KIND, action.name, action.value, action.expected_version
        )
        if is_successful(result):
            version = result.unwrap().version
            self._results.on_written(action.name, version, action.value)
        else:
            self._results.on_failed(action.name, result.failure())
