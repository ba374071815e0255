"""The one client of the platform's object store."""

from __future__ import annotations

import urllib.parse
import zlib
from typing import TYPE_CHECKING, Any, NamedTuple

import httptools
import msgspec
from eventlet import timeout
from eventlet.green import socket

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.transport.hub_socket import parse_host_port, set_liveness_options

if TYPE_CHECKING:
    from collections.abc import Callable


RECEIVE_BYTES = 65_536
OBJECTS_PATH = "/api/objects/"
# In the query of an instance that knows nothing and cannot reach the store.
ANY_AGE_KEY = "any_age"
_STALE_KEY = "allow_stale"
# Large answers of other instances are packed.
PACKED_CODING = b"deflate"
# A call that waits for nothing: the slowest answers seen took 0.4 s.
CALL_TIMEOUT_S = 1.5
# A watch is answered by then at the latest, on top of its own wait.
WATCH_SLACK_S = 3.0
_IDLE_CONNECTIONS = 2
_MAX_REPLY_BYTES = 32 * 1024 * 1024
_CODE_BY_STATUS = {
    404: ResultCode.PLATFORM_NOT_FOUND,
    409: ResultCode.PLATFORM_CONFLICT,
    410: ResultCode.PLATFORM_HISTORY_GONE,
    413: ResultCode.REQUEST_TOO_LARGE,
    429: ResultCode.PLATFORM_RATE_LIMITED,
}


class StoredObject(NamedTuple):
    """One object of the store.

    Attributes:
        kind: Its kind.
        name: Its name within the kind.
        revision: Store-wide number of its last change.
        spec: Its decoded content.
        is_deleted: Whether a watch reports its removal.
    """

    kind: str
    name: str
    revision: int
    spec: Any
    is_deleted: bool = False


class StoredList(NamedTuple):
    """All objects of a kind, and the revision from which to watch."""

    objects: tuple[StoredObject, ...]
    revision: int


class _HttpReply:
    """Collects one reply."""

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
        # The parser only knows within this callback.
        self.is_reusable = self.parser.should_keep_alive()


class ObjectStore:
    """Calls to the store over kept connections; each call blocks its green thread."""

    def __init__(
        self, address: str, note_call: Callable[[str, ResultCode], None]
    ) -> None:
        """Use the store at ``ip:port``.

        Args:
            address: The store.
            note_call: Takes the verb and the result of each call.
        """
        self._address = parse_host_port(address)
        self._host = address.encode()
        self._note_call = note_call
        self._idle: list[socket.socket] = []

    def list(
        self,
        kind: str,
        may_be_stale: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoredList:
        """Read all objects of a kind, page by page.

        Args:
            kind: The kind.
            may_be_stale: Whether objects may be seconds old, for a tenth of the price.
                Changes must not be watched from the revision of such a list.
            timeout_s: How long to wait for each page, in seconds.

        Raises:
            PlatformError: If a page cannot be read.
        """
        objects: list[StoredObject] = []
        revision = 0
        first: dict[str, object] = {_STALE_KEY: 1} if may_be_stale else {}
        query = first
        while True:
            reply = self._call("list", "GET", _path(kind), query, None, timeout_s)
            page = _checked(reply, "items", list)
            objects += [_decode_object(kind, item) for item in page]
            # The first page's revision: what changes while we read is watched.
            revision = revision or _checked(reply, "current_rev", int)
            if not reply.get("has_more") or not objects:
                return StoredList(tuple(objects), revision)
            query = {**first, "after": objects[-1].name}

    def borrow(self, kind: str) -> StoredList:
        """Read what another instance knows of a kind, however old.

        Raises:
            PlatformError: If it knows nothing, or cannot be reached.
        """
        reply = self._call("borrow", "GET", _path(kind), {ANY_AGE_KEY: 1})
        objects = [
            _decode_object(kind, each) for each in _checked(reply, "items", list)
        ]
        return StoredList(tuple(objects), _checked(reply, "current_rev", int))

    def watch(
        self, kind: str, revision: int, wait_s: float, slack_s: float = WATCH_SLACK_S
    ) -> tuple[tuple[StoredObject, ...], int]:
        """Wait for changes of a kind after a revision.

        Args:
            kind: The kind.
            revision: The revision that is known.
            wait_s: How long the other end waits for a change, in seconds.
            slack_s: How much later its answer may come, in seconds.

        Returns:
            The changes in order, and the revision to go on from.

        Raises:
            PlatformError: With PLATFORM_HISTORY_GONE if the kind must be listed anew.
        """
        query = {"watch": revision, "wait_ms": int(wait_s * 1000.0)}
        reply = self._call("watch", "GET", _path(kind), query, None, wait_s + slack_s)
        events = tuple(
            _decode_object(kind, event.get("object"), bool(event.get("tombstone")))
            for event in _checked(reply, "events", list)
            if isinstance(event, dict)
        )
        return events, _checked(reply, "current_rev", int)

    def get(self, kind: str, name: str) -> StoredObject:
        """Read one object.

        Raises:
            PlatformError: With PLATFORM_NOT_FOUND if there is none.
        """
        return _decode_object(kind, self._call("get", "GET", _path(kind, name), {}))

    def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object.

        Raises:
            PlatformError: With PLATFORM_CONFLICT if it exists.
        """
        body = {"meta": {"name": name}, "spec": spec}
        return _decode_object(kind, self._call("create", "POST", _path(kind), {}, body))

    def replace(self, kind: str, name: str, spec: Any, revision: int) -> StoredObject:
        """Replace an object's content if its revision is the given one.

        Raises:
            PlatformError: With PLATFORM_CONFLICT if it is another.
        """
        body = {"meta": {"name": name, "revision": revision}, "spec": spec}
        reply = self._call("replace", "PUT", _path(kind, name), {}, body)
        return _decode_object(kind, reply)

    def delete(self, kind: str, name: str, revision: int) -> None:
        """Delete an object if its revision is the given one.

        Raises:
            PlatformError: If it is another, or the call failed.
        """
        self._call("delete", "DELETE", _path(kind, name), {"revision": revision})

    def _call(
        self,
        verb: str,
        method: str,
        path: str,
        query: dict[str, object],
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict:
        try:
            reply = self._exchange(method, path, query, body, timeout_s)
        except PlatformError as error:
            self._note_call(verb, error.code)
            raise
        self._note_call(verb, ResultCode.OK)
        return reply

    def _exchange(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: Any,
        timeout_s: float,
    ) -> dict:
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        data = self._encode(method, target, body)
        connection = None
        is_reusable = False
        try:
            with timeout.Timeout(
                timeout_s, PlatformError(f"no answer in {timeout_s} s")
            ):
                connection = self._idle.pop() if self._idle else self._connect()
                connection.sendall(data)
                status, headers, content, is_reusable = _receive(connection)
        except (OSError, httptools.HttpParserError) as error:
            raise PlatformError(f"{method} {path}: {error}") from error
        finally:
            if connection is not None:
                self._give_back(connection, is_reusable)
        return decode_reply(f"{method} {path}", status, headers, content)

    def _connect(self) -> socket.socket:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        set_liveness_options(connection)
        try:
            connection.connect(self._address)
        except BaseException:
            connection.close()
            raise
        return connection

    def _give_back(self, connection: socket.socket, is_reusable: bool) -> None:
        if is_reusable and len(self._idle) < _IDLE_CONNECTIONS:
            self._idle.append(connection)
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


def _receive(
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
    call: str, status: int, headers: dict[bytes, bytes], content: bytes
) -> dict:
    """Return the table in the reply to a call.

    Raises:
        PlatformError: If the call failed, or the reply is no table.
    """
    if not 200 <= status < 300:
        code = _CODE_BY_STATUS.get(status, ResultCode.PLATFORM_UNAVAILABLE)
        raise PlatformError(
            f"{call}: status {status}",
            code,
            _revision_of(content),
            _retry_after_s(headers.get(b"retry-after")),
        )
    try:
        if headers.get(b"content-encoding") == PACKED_CODING:
            content = zlib.decompressobj().decompress(content, _MAX_REPLY_BYTES)
        decoded = msgspec.json.decode(content or b"{}")
    except (msgspec.DecodeError, zlib.error) as error:
        raise PlatformError(
            f"{call}: {error}", ResultCode.PLATFORM_REPLY_INVALID
        ) from error
    if not isinstance(decoded, dict):
        raise PlatformError(
            f"{call}: reply is no table", ResultCode.PLATFORM_REPLY_INVALID
        )
    return decoded


def _revision_of(content: bytes) -> int:
    """Return the revision of the object in a conflict's reply; 0 if there is none."""
    try:
        decoded = msgspec.json.decode(content or b"{}")
        return int(decoded["meta"]["revision"])
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return 0


def _retry_after_s(value: bytes | None) -> float:
    try:
        return max(0.0, float(value)) if value else 0.0
    except ValueError:
        return 0.0


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


def _checked(reply: dict, key: str, kind: type) -> Any:
    value = reply.get(key)
    if not isinstance(value, kind):
        raise PlatformError(f"reply without {key}", ResultCode.PLATFORM_REPLY_INVALID)
    return value
