"""Client of the platform's object store."""

from __future__ import annotations

import math
import urllib.parse
import zlib
from typing import TYPE_CHECKING, Any, NamedTuple

import httptools
import msgspec
from eventlet import timeout
from eventlet.green import socket

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.platform.reply_items import DECODE_ERRORS, decode_content
from almondspool.transport.hub_socket import parse_host_port, set_dead_peer_detection

if TYPE_CHECKING:
    from collections.abc import Callable


RECEIVE_BYTES = 65_536
OBJECTS_PATH = "/api/objects/"
# Query key of a list call to another instance: accepts a copy of any age. Sent by an
# instance that has no or stale data and cannot reach the store.
ANY_AGE_KEY = "any_age"
# Query key of a list call to the store: accepts objects that are some seconds old.
_ALLOW_STALE_KEY = "allow_stale"
# Content coding of large answers by other instances.
COMPRESSED_CODING = b"deflate"
# Timeout of calls other than watches; the slowest answers seen took 0.4 s.
CALL_TIMEOUT_S = 1.5
# Time allowed for the answer to a watch beyond the wait that the watch asks for.
WATCH_TIMEOUT_MARGIN_S = 3.0
_MAX_IDLE_CONNECTIONS = 2
_MAX_REPLY_BYTES = 32 * 1024 * 1024
# Longest delay taken over from a Retry-After header: a larger value would stop the
# reads of the configuration for longer than an outage lasts.
MAX_RETRY_AFTER_S = 10.0
# Keys of the list of objects in the reply to a list call and to a watch.
_ITEMS_KEY = "items"
_EVENTS_KEY = "events"
_CODE_BY_STATUS = {
    404: ResultCode.PLATFORM_NOT_FOUND,
    409: ResultCode.PLATFORM_CONFLICT,
    410: ResultCode.PLATFORM_HISTORY_GONE,
    413: ResultCode.REQUEST_TOO_LARGE,
    429: ResultCode.PLATFORM_RATE_LIMITED,
}


# Header of the store's answers: the number of its history.
HISTORY_HEADER = b"Store-Era"
# Factor of the history in a position as one integer, which leaves room for 8,000
# histories below the largest integer of a member's record.
REVISIONS_PER_HISTORY = 2**40


class StorePosition(NamedTuple):
    """Position in the changes of the store; positions are ordered.

    Revisions order changes within one history only. A store that returns from an older
    copy begins a new history, in which it gives out revisions again.

    Attributes:
        history: Number of the history, higher for each later one; 0 if unknown.
        revision: Store-wide number of the last change; 0 before the first read.
    """

    history: int
    revision: int

    def to_int(self) -> int:
        """Return the position as one integer that keeps the order of positions."""
        return self.history * REVISIONS_PER_HISTORY + self.revision

    @classmethod
    def from_int(cls, number: int) -> StorePosition:
        """Return the position that to_int() encoded."""
        return cls(*divmod(number, REVISIONS_PER_HISTORY))


NO_POSITION = StorePosition(0, 0)


class StoredObject(NamedTuple):
    """One object of the store.

    Attributes:
        kind: The object's kind, such as ``servers``.
        name: The object's name within the kind.
        revision: Store-wide number of its last change.
        spec: Content, decoded from JSON.
        is_deleted: Whether a watch reported the object's deletion.
        history: Number of the store's history that the revision belongs to; 0 in the
            objects of lists and watches, which have it themselves.
    """

    kind: str
    name: str
    revision: int
    spec: Any
    is_deleted: bool = False
    history: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position of the last change."""
        return StorePosition(self.history, self.revision)


class StoredList(NamedTuple):
    """All objects of a kind, and the position from which to watch it.

    Attributes:
        objects: The objects.
        revision: Revision of the list.
        history: Number of the store's history that the revision belongs to.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    history: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position from which to watch the kind."""
        return StorePosition(self.history, self.revision)


class _HttpReply:
    """One reply, collected by the callbacks of the HTTP parser."""

    def __init__(self) -> None:
        self.body = bytearray()
        self.headers: dict[bytes, bytes] = {}
        self.is_complete = False
        self.is_reusable = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.is_complete = True
        # should_keep_alive() is valid only during this callback.
        self.is_reusable = self.parser.should_keep_alive()


class ObjectStoreClient:
    """Calls the store over persistent connections; calls block their green thread.

    Attributes:
        history: Highest number of a history in the answers; 0 if none had a number.
    """

    def __init__(
        self, address: str, record_call: Callable[[str, ResultCode], None]
    ) -> None:
        """Prepare calls to a store; connections are opened when needed.

        Args:
            address: ``ip:port`` of the store.
            record_call: Called with the verb and the result of each call.
        """
        self._address = parse_host_port(address)
        self._host = address.encode()
        self._record_call = record_call
        self._idle_connections: list[socket.socket] = []
        self.history = 0

    def list(
        self,
        kind: str,
        may_be_stale: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoredList:
        """Read all objects of a kind, page by page.

        Args:
            kind: The kind.
            may_be_stale: Whether objects may be some seconds old; such a call costs a
                tenth of the price. Changes must not be watched from the revision of
                such a list.
            timeout_s: Timeout for each page, in seconds.

        Raises:
            PlatformError: If a page cannot be read, or with PLATFORM_HISTORY_GONE if
                the pages belong to different histories.
        """
        objects: list[StoredObject] = []
        position = NO_POSITION
        first_query: dict[str, object] = {_ALLOW_STALE_KEY: 1} if may_be_stale else {}
        query = first_query
        while True:
            reply, history = self._call(
                "list", "GET", _path(kind), query, None, timeout_s
            )
            page = _required_field(reply, _ITEMS_KEY, list)
            objects += [_decode_object(kind, item) for item in page]
            # Keep the first page's revision, so that the watch reports changes made
            # while the later pages were read.
            if not position.revision:
                revision = _required_field(reply, "current_rev", int)
                position = StorePosition(history, revision)
            _check_history(kind, position, history)
            last_name = next((each.name for each in reversed(objects) if each.name), "")
            if not reply.get("has_more") or not last_name:
                return StoredList(tuple(objects), position.revision, position.history)
            if query.get("after") == last_name:
                raise PlatformError(
                    f"page of kind {kind} without a readable name",
                    ResultCode.PLATFORM_REPLY_INVALID,
                )
            query = {**first_query, "after": last_name}

    def list_from_peer(self, kind: str) -> StoredList:
        """Read another instance's copy of a kind, however old.

        Raises:
            PlatformError: If the instance has no copy or cannot be reached.
        """
        reply, history = self._call("borrow", "GET", _path(kind), {ANY_AGE_KEY: 1})
        objects = [
            _decode_object(kind, item)
            for item in _required_field(reply, _ITEMS_KEY, list)
        ]
        revision = _required_field(reply, "current_rev", int)
        return StoredList(tuple(objects), revision, history)

    def watch(
        self,
        kind: str,
        position: StorePosition,
        wait_s: float,
        timeout_margin_s: float = WATCH_TIMEOUT_MARGIN_S,
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes of a kind after a position.

        Args:
            kind: The kind.
            position: The position up to which the caller knows the kind.
            wait_s: How long the server waits for a change, in seconds.
            timeout_margin_s: Time allowed for the answer beyond that, in seconds.

        Returns:
            The changes in order, and the revision from which to watch next.

        Raises:
            PlatformError: With PLATFORM_HISTORY_GONE if the kind must be listed again,
                also as the answer belongs to another history than the position.
        """
        query = {"watch": position.revision, "wait_ms": int(wait_s * 1000.0)}
        timeout_s = wait_s + timeout_margin_s
        reply, history = self._call(
            "watch", "GET", _path(kind), query, None, timeout_s, _EVENTS_KEY
        )
        _check_history(kind, position, history)
        events = tuple(
            _decode_object(kind, event.get("object"), bool(event.get("tombstone")))
            for event in _required_field(reply, _EVENTS_KEY, list)
            if isinstance(event, dict)
        )
        return events, _required_field(reply, "current_rev", int)

    def get(self, kind: str, name: str) -> StoredObject:
        """Read one object.

        Raises:
            PlatformError: With PLATFORM_NOT_FOUND if it does not exist.
        """
        reply, history = self._call("get", "GET", _path(kind, name), {})
        return _decode_object(kind, reply)._replace(history=history)

    def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object.

        Raises:
            PlatformError: With PLATFORM_CONFLICT if it exists.
        """
        body = {"meta": {"name": name}, "spec": spec}
        reply, history = self._call("create", "POST", _path(kind), {}, body)
        return _decode_object(kind, reply)._replace(history=history)

    def replace(
        self, kind: str, name: str, spec: Any, position: StorePosition
    ) -> StoredObject:
        """Replace an object's content if its last change is at the given position.

        Raises:
            PlatformError: With PLATFORM_CONFLICT if it is at another one.
        """
        self._check_current(kind, name, position)
        body = {"meta": {"name": name, "revision": position.revision}, "spec": spec}
        reply, history = self._call("replace", "PUT", _path(kind, name), {}, body)
        return _decode_object(kind, reply)._replace(history=history)

    def delete(self, kind: str, name: str, position: StorePosition) -> None:
        """Delete an object if its last change is at the given position.

        Raises:
            PlatformError: If it is at another one, or the call failed.
        """
        self._check_current(kind, name, position)
        query = {"revision": position.revision}
        self._call("delete", "DELETE", _path(kind, name), query)

    def _check_current(self, kind: str, name: str, position: StorePosition) -> None:
        """Refuse a position of a lost history: its revision may be given out again.

        Raises:
            PlatformError: With PLATFORM_CONFLICT.
        """
        if position.history != self.history:
            raise PlatformError(
                f"object {kind}/{name} at {position} is of a lost history",
                ResultCode.PLATFORM_CONFLICT,
            )

    def _call(
        self,
        verb: str,
        method: str,
        path: str,
        query: dict[str, object],
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
        items_key: str = _ITEMS_KEY,
    ) -> tuple[dict, int]:
        """Return the JSON object in the answer, and the history it belongs to."""
        try:
            result = self._exchange(method, path, query, body, timeout_s, items_key)
        except PlatformError as error:
            self._record_call(verb, error.code)
            raise
        self._record_call(verb, ResultCode.OK)
        return result

    def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: Any,
        timeout_s: float,
        items_key: str,
    ) -> tuple[dict, int]:
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        status, headers, content = self._transfer(method, target, body, timeout_s)
        # An answer without a number is taken for one of the newest history.
        history = _history(headers) or self.history
        self.history = max(self.history, history)
        call = f"{method} {path}"
        return decode_reply(call, status, headers, content, items_key), history

    def _transfer(
        self, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Return the status, the headers by name in lower case, and the body."""
        data = self._encode(method, target, body)
        connection = None
        is_reusable = False
        try:
            with timeout.Timeout(
                timeout_s, PlatformError(f"no answer in {timeout_s} s")
            ):
                connection = (
                    self._idle_connections.pop()
                    if self._idle_connections
                    else self._connect()
                )
                connection.sendall(data)
                status, headers, content, is_reusable = _receive_reply(connection)
        except (OSError, httptools.HttpParserError) as error:
            path = target.partition("?")[0]
            raise PlatformError(f"{method} {path}: {error}") from error
        finally:
            if connection is not None:
                self._release_connection(connection, is_reusable)
        return status, headers, content

    def _connect(self) -> socket.socket:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        set_dead_peer_detection(connection)
        try:
            connection.connect(self._address)
        except BaseException:
            connection.close()
            raise
        return connection

    def _release_connection(self, connection: socket.socket, is_reusable: bool) -> None:
        if is_reusable and len(self._idle_connections) < _MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(connection)
        else:
            connection.close()

    def _encode(self, method: str, target: str, body: Any) -> bytes:
        content = b"" if body is None else msgspec.json.encode(body)
        lines = [f"{method} {target} HTTP/1.1".encode(), b"Host: " + self._host]
        if body is not None:
            lines.append(b"Content-Type: application/json")
            lines.append(b"Content-Length: %d" % len(content))
        return b"\r\n".join(lines) + b"\r\n\r\n" + content


def _path(kind: str, name: str = "") -> str:
    path = OBJECTS_PATH + urllib.parse.quote(kind, safe="")
    return f"{path}/{urllib.parse.quote(name, safe='')}" if name else path


def _receive_reply(
    connection: socket.socket,
) -> tuple[int, dict[bytes, bytes], bytes, bool]:
    reply = _HttpReply()
    while not reply.is_complete:
        data = connection.recv(RECEIVE_BYTES)
        if not data:
            raise ConnectionResetError("the store closed the connection")
        reply.parser.feed_data(data)
        if len(reply.body) > _MAX_REPLY_BYTES:
            raise ConnectionResetError(f"reply of over {_MAX_REPLY_BYTES} bytes")
    status = reply.parser.get_status_code()
    return status, reply.headers, bytes(reply.body), reply.is_reusable


def decode_reply(
    call: str,
    status: int,
    headers: dict[bytes, bytes],
    content: bytes,
    items_key: str = _ITEMS_KEY,
) -> dict:
    """Return the JSON object in the reply to a call.

    Args:
        call: Method and path of the call, for error messages.
        status: The HTTP status.
        headers: The headers by name, in lower case.
        content: The body as received.
        items_key: Key of the list of objects, of which some may be unreadable.

    Raises:
        PlatformError: If the call failed, or the reply is not a JSON object.
    """
    if not 200 <= status < 300:
        code = _CODE_BY_STATUS.get(status, ResultCode.PLATFORM_UNAVAILABLE)
        raise PlatformError(
            f"{call}: status {status}",
            code,
            _conflict_revision(content),
            _retry_after_s(headers.get(b"retry-after")),
        )
    try:
        if headers.get(b"content-encoding") == COMPRESSED_CODING:
            content = zlib.decompressobj().decompress(content, _MAX_REPLY_BYTES)
        decoded = decode_content(content or b"{}", items_key)
    except (*DECODE_ERRORS, zlib.error) as error:
        raise PlatformError(
            f"{call}: {error}", ResultCode.PLATFORM_REPLY_INVALID
        ) from error
    if not isinstance(decoded, dict):
        raise PlatformError(
            f"{call}: reply is not a JSON object", ResultCode.PLATFORM_REPLY_INVALID
        )
    return decoded


def _conflict_revision(content: bytes) -> int:
    """Return the object's revision in the reply to a conflict; 0 if there is none."""
    try:
        decoded = msgspec.json.decode(content or b"{}")
        return int(decoded["meta"]["revision"])
    except (*DECODE_ERRORS, KeyError, TypeError, ValueError):
        return 0


def _check_history(kind: str, position: StorePosition, history: int) -> None:
    """Refuse an answer that belongs to another history than a position.

    Raises:
        PlatformError: With PLATFORM_HISTORY_GONE.
    """
    if history != position.history:
        raise PlatformError(
            f"answer of history {history} for kind {kind}, known up to {position}",
            ResultCode.PLATFORM_HISTORY_GONE,
        )


def _history(headers: dict[bytes, bytes]) -> int:
    """Return the number of the history in an answer; 0 if it has no valid one."""
    value = headers.get(HISTORY_HEADER.lower(), b"")
    return int(value) if value.isdigit() else 0


def _retry_after_s(value: bytes | None) -> float:
    """Return the delay in a Retry-After header, up to MAX_RETRY_AFTER_S.

    It is 0.0 if the header is missing or malformed.
    """
    try:
        delay_s = float(value) if value else 0.0
    except ValueError:
        return 0.0
    return 0.0 if math.isnan(delay_s) else min(MAX_RETRY_AFTER_S, max(0.0, delay_s))


def _decode_object(kind: str, item: Any, is_deleted: bool = False) -> StoredObject:
    meta = item.get("meta") if isinstance(item, dict) else None
    if not isinstance(meta, dict) or not isinstance(meta.get("name"), str):
        raise PlatformError(
            f"object of kind {kind} without a name", ResultCode.PLATFORM_REPLY_INVALID
        )
    revision = meta.get("revision")
    return StoredObject(
        kind,
        meta["name"],
        revision if isinstance(revision, int) else 0,
        item.get("spec"),
        is_deleted,
    )


def _required_field(reply: dict, key: str, value_type: type) -> Any:
    value = reply.get(key)
    if not isinstance(value, value_type):
        raise PlatformError(f"reply without {key}", ResultCode.PLATFORM_REPLY_INVALID)
    return value
