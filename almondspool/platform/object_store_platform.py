"""Implementation of PlatformInterface on the platform's object store."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Success

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.platform.store import StorePosition
from almondspool.protocol.platform import (
    ObjectList,
    PlatformInterface,
    PlatformObject,
    WatchEvents,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from almondspool.platform.store import ObjectStoreClient, StoredObject


class ObjectStorePlatform(PlatformInterface):
    """Keeps the objects that the instances share in the platform's store.

    A version is the position of the object's last change, as one integer: after a
    restore of the store it differs from all versions of the lost history.
    """

    # Keeps the instances' kinds apart from the kinds of the platform itself.
    _KIND_PREFIX = "almondspool-"

    def __init__(self, store: ObjectStoreClient) -> None:
        """Store the objects through a store client."""
        self._store = store

    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        return _to_result(
            lambda: _to_platform_object(
                kind, self._store.get(self._prefixed_kind(kind), name)
            )
        )

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind; they may be some seconds old.

        Such a list is enough: member records are read for the members' addresses, while
        heartbeats show whether a member runs. A write that expects an old version
        fails, and its caller reads the object again.
        """

        def read() -> ObjectList:
            stored_list = self._store.list(self._prefixed_kind(kind), may_be_stale=True)
            objects = [
                _to_listed_object(kind, each._replace(history=stored_list.history))
                for each in stored_list.objects
            ]
            return ObjectList(
                {each.name: each for each in objects}, stored_list.position.to_int()
            )

        return _to_result(read)

    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write one object if its version is the expected one.

        An expected version of 0 creates the object.
        """
        spec = {"value": base64.b64encode(value).decode()}

        def write() -> PlatformObject:
            prefixed_kind = self._prefixed_kind(kind)
            if expected_version:
                stored_object = self._store.replace(
                    prefixed_kind,
                    name,
                    spec,
                    StorePosition.from_int(expected_version),
                )
            else:
                stored_object = self._store.create(prefixed_kind, name, spec)
            return _to_platform_object(kind, stored_object)

        return _to_result(write)

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete one object if its version is the expected one."""
        return _to_result(
            lambda: self._store.delete(
                self._prefixed_kind(kind),
                name,
                StorePosition.from_int(expected_version),
            )
        )

    def watch(
        self, kind: str, after_version: int, wait_s: float
    ) -> Result[WatchEvents, PlatformError]:
        """Wait at most wait_s seconds for changes of a kind after a version."""

        def wait() -> WatchEvents:
            prefixed_kind = self._prefixed_kind(kind)
            position = StorePosition.from_int(after_version)
            events, revision = self._store.watch(prefixed_kind, position, wait_s)
            return WatchEvents(
                tuple(
                    _to_listed_object(kind, event._replace(history=position.history))
                    for event in events
                ),
                position._replace(revision=revision).to_int(),
            )

        return _to_result(wait)

    def list_instances(self) -> Result[tuple, PlatformError]:
        """Return no instances: the platform keeps no list of them."""
        return Success(())

    def _prefixed_kind(self, kind: str) -> str:
        return self._KIND_PREFIX + kind


def _to_result(call: Callable[[], Any]) -> Result:
    try:
        return Success(call())
    except PlatformError as error:
        return Failure(error)


def _to_platform_object(kind: str, stored_object: StoredObject) -> PlatformObject:
    spec = stored_object.spec if isinstance(stored_object.spec, dict) else {}
    try:
        value = base64.b64decode(str(spec.get("value", "")), validate=True)
    except ValueError as error:
        raise PlatformError(
            f"object {kind}/{stored_object.name}: {error}",
            ResultCode.PLATFORM_REPLY_INVALID,
        ) from error
    return PlatformObject(
        kind,
        stored_object.name,
        stored_object.position.to_int(),
        value,
        stored_object.is_deleted,
    )


def _to_listed_object(kind: str, stored_object: StoredObject) -> PlatformObject:
    """Return one object of several; its value is empty if it is malformed.

    Readers refuse and log an empty value, as they do with any other that they cannot
    decode.
    """
    try:
        return _to_platform_object(kind, stored_object)
    except PlatformError:
        return _to_platform_object(kind, stored_object._replace(spec=None))
