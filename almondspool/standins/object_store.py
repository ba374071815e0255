"""Versioned objects of the platform stand-in, held in memory."""

from __future__ import annotations

from collections import deque

import eventlet
import eventlet.event

from almondspool.protocol.platform import MAX_VALUE_BYTES, PlatformObject


class VersionConflictError(Exception):
    """The version expected by a conditional write is not current.

    Attributes:
        current: The object's version; 0 when it does not exist.
    """

    def __init__(self, current: int) -> None:
        """Set the current version."""
        super().__init__(f"current version is {current}")
        self.current = current


class ValueTooLargeError(Exception):
    """A value exceeds MAX_VALUE_BYTES."""


class HistoryGoneError(Exception):
    """A watch starts before the oldest retained change."""


class ObjectStore:
    """Objects under one version counter, with a bounded history of changes."""

    def __init__(self, history_limit: int) -> None:
        """Keep at most history_limit changes for watches and stale reads."""
        self.version = 0
        self._by_key: dict[tuple[str, str], PlatformObject] = {}
        self._base_by_key: dict[tuple[str, str], PlatformObject] = {}
        self._history: deque[PlatformObject] = deque()
        self._history_limit = history_limit
        self._base_version = 0
        self._changed = eventlet.event.Event()

    def get(
        self, kind: str, name: str, at_version: int | None = None
    ) -> PlatformObject | None:
        """Return an object, as of a version if one is given."""
        if at_version is None:
            return self._by_key.get((kind, name))
        return self._by_key_at(at_version).get((kind, name))

    def list(self, kind: str, at_version: int | None = None) -> list[PlatformObject]:
        """Return the objects of a kind by name, as of a version if one is given."""
        by_key = self._by_key if at_version is None else self._by_key_at(at_version)
        return [item for key, item in sorted(by_key.items()) if key[0] == kind]

    def put(self, kind: str, name: str, value: bytes, expected: int) -> PlatformObject:
        """Write an object if its version equals ``expected``; 0 to create.

        Raises:
            VersionConflictError: When the object has another version.
            ValueTooLargeError: When the value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{len(value)} bytes exceed {MAX_VALUE_BYTES}")
        self._check_version(kind, name, expected)
        written = PlatformObject(kind, name, self.version + 1, value)
        self._by_key[kind, name] = written
        self._record(written)
        return written

    def delete(self, kind: str, name: str, expected: int) -> bool:
        """Delete an object; return False when there is none.

        Raises:
            VersionConflictError: When the object has another version.
        """
        if (kind, name) not in self._by_key:
            return False
        self._check_version(kind, name, expected)
        del self._by_key[kind, name]
        self._record(PlatformObject(kind, name, self.version + 1, b"", True))
        return True

    def watch(self, kind: str, after: int, wait_s: float) -> list[PlatformObject]:
        """Return the changes of a kind after a version; wait for the first.

        Raises:
            HistoryGoneError: When changes after that version were discarded.
        """
        with eventlet.Timeout(wait_s, False):
            while not self._changes_after(kind, after):
                self._changed.wait()
        return self._changes_after(kind, after)

    def _changes_after(self, kind: str, after: int) -> list[PlatformObject]:
        if after < self._base_version:
            raise HistoryGoneError(f"changes up to {self._base_version} are gone")
        return [
            event
            for event in self._history
            if event.version > after and event.kind == kind
        ]

    def _check_version(self, kind: str, name: str, expected: int) -> None:
        current = self._by_key.get((kind, name))
        current_version = current.version if current else 0
        if current_version != expected:
            raise VersionConflictError(current_version)

    def _record(self, event: PlatformObject) -> None:
        self.version = event.version
        self._history.append(event)
        if len(self._history) > self._history_limit:
            trimmed = self._history.popleft()
            self._base_version = trimmed.version
            _apply(self._base_by_key, trimmed)
        previous, self._changed = self._changed, eventlet.event.Event()
        previous.send()

    def _by_key_at(self, version: int) -> dict[tuple[str, str], PlatformObject]:
        by_key = dict(self._base_by_key)
        for event in self._history:
            if event.version <= version:
                _apply(by_key, event)
        return by_key


def _apply(
    by_key: dict[tuple[str, str], PlatformObject], event: PlatformObject
) -> None:
    key = (event.kind, event.name)
    if event.deleted:
        by_key.pop(key, None)
    else:
        by_key[key] = event
