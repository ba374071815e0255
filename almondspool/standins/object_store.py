"""Versioned objects of the platform stand-in, held in memory."""

from __future__ import annotations

from collections import deque

import eventlet
import eventlet.event

from almondspool.protocol.platform import MAX_VALUE_BYTES, PlatformObject


class VersionConflictError(Exception):
    """The version that a conditional write expects is not the current one.

    Attributes:
        current: The object's version; 0 when it does not exist.
    """

    def __init__(self, current: int) -> None:
        """Build the error with the object's current version."""
        super().__init__(f"current version is {current}")
        self.current = current


class ValueTooLargeError(Exception):
    """A value exceeds MAX_VALUE_BYTES."""


class HistoryGoneError(Exception):
    """Changes after the version that a watch starts from were discarded."""


class ObjectStore:
    """Objects with one version counter and a bounded history of changes.

    Attributes:
        version: The version of the newest change; 0 without any.
    """

    def __init__(self, history_limit: int) -> None:
        """Start empty; keep at most history_limit changes for watches and old reads."""
        self.version = 0
        self._objects_by_key: dict[tuple[str, str], PlatformObject] = {}
        # The objects at _base_version, the version of the newest discarded change.
        self._base_objects_by_key: dict[tuple[str, str], PlatformObject] = {}
        self._history: deque[PlatformObject] = deque()
        self._history_limit = history_limit
        self._base_version = 0
        self._change_event = eventlet.event.Event()

    def get(
        self, kind: str, name: str, at_version: int | None = None
    ) -> PlatformObject | None:
        """Return an object, as of a version if one is given."""
        if at_version is None:
            return self._objects_by_key.get((kind, name))
        return self._objects_by_key_at(at_version).get((kind, name))

    def list(self, kind: str, at_version: int | None = None) -> list[PlatformObject]:
        """Return the objects of a kind by name, as of a version if one is given."""
        objects_by_key = (
            self._objects_by_key
            if at_version is None
            else self._objects_by_key_at(at_version)
        )
        return [item for key, item in sorted(objects_by_key.items()) if key[0] == kind]

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
        self._objects_by_key[kind, name] = written
        self._append_change(written)
        return written

    def delete(self, kind: str, name: str, expected: int) -> bool:
        """Delete an object; return False when there is none.

        Raises:
            VersionConflictError: When the object has another version.
        """
        if (kind, name) not in self._objects_by_key:
            return False
        self._check_version(kind, name, expected)
        del self._objects_by_key[kind, name]
        self._append_change(PlatformObject(kind, name, self.version + 1, b"", True))
        return True

    def watch(self, kind: str, after: int, wait_s: float) -> list[PlatformObject]:
        """Return the changes of a kind after a version.

        Waits at most wait_s seconds for the first one; without any the list is empty.

        Raises:
            HistoryGoneError: When changes after that version were discarded.
        """
        with eventlet.Timeout(wait_s, False):
            while not self._changes_after(kind, after):
                self._change_event.wait()
        return self._changes_after(kind, after)

    def _changes_after(self, kind: str, after: int) -> list[PlatformObject]:
        if after < self._base_version:
            raise HistoryGoneError(f"changes up to {self._base_version} are gone")
        return [
            change
            for change in self._history
            if change.version > after and change.kind == kind
        ]

    def _check_version(self, kind: str, name: str, expected: int) -> None:
        current = self._objects_by_key.get((kind, name))
        current_version = current.version if current else 0
        if current_version != expected:
            raise VersionConflictError(current_version)

    def _append_change(self, change: PlatformObject) -> None:
        self.version = change.version
        self._history.append(change)
        if len(self._history) > self._history_limit:
            oldest = self._history.popleft()
            self._base_version = oldest.version
            _apply_change(self._base_objects_by_key, oldest)
        previous_event, self._change_event = self._change_event, eventlet.event.Event()
        previous_event.send()

    def _objects_by_key_at(self, version: int) -> dict[tuple[str, str], PlatformObject]:
        objects_by_key = dict(self._base_objects_by_key)
        for change in self._history:
            if change.version <= version:
                _apply_change(objects_by_key, change)
        return objects_by_key


def _apply_change(
    objects_by_key: dict[tuple[str, str], PlatformObject], change: PlatformObject
) -> None:
    key = (change.kind, change.name)
    if change.deleted:
        objects_by_key.pop(key, None)
    else:
        objects_by_key[key] = change
