"""HTTP client of the platform's object API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, NamedTuple
from urllib.parse import quote

import msgspec
import urllib3
from returns.result import Failure, Result, Success

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.protocol.platform import (
    MAX_VALUE_BYTES,
    ListedInstance,
    ObjectList,
    PlatformInterface,
    PlatformObject,
    WatchEvents,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

MAX_REPLY_BYTES = 64_000_000
MAX_RETRY_AFTER_S = 60.0
MAX_IDLE_CONNECTIONS = 8

_Version = Annotated[int, msgspec.Meta(ge=0)]
_CODE_BY_STATUS = {
    404: ResultCode.PLATFORM_NOT_FOUND,
    409: ResultCode.PLATFORM_CONFLICT,
    410: ResultCode.PLATFORM_HISTORY_GONE,
    413: ResultCode.REQUEST_TOO_LARGE,
    429: ResultCode.PLATFORM_RATE_LIMITED,
}


class _ObjectBody(msgspec.Struct):
    kind: str
    name: str
    version: _Version
    value: bytes
    deleted: bool = False


class _ListBody(msgspec.Struct):
    version: _Version
    objects: tuple[_ObjectBody, ...]


class _WatchBody(msgspec.Struct):
    version: _Version
    events: tuple[_ObjectBody, ...]


class _PutReplyBody(msgspec.Struct):
    kind: str
    name: str
    version: _Version


class _ConflictBody(msgspec.Struct):
    version: _Version = 0


class _InstanceBody(msgspec.Struct):
    instance: str
    address: str
    zone: str
    leaving: bool


class _InstancesBody(msgspec.Struct):
    instances: tuple[_InstanceBody, ...]


class _Reply(NamedTuple):
    status: int
    body: bytes
    retry_after: str


def make_http_platform(address: str, timeout_s: float) -> PlatformInterface:
    """Return the platform's HTTP client.

    Args:
        address: ``ip:port`` of the object API.
        timeout_s: Timeout of one call in seconds; a watch adds its wait to it.
    """
    host, _, port = address.rpartition(":")

    def make_pool() -> urllib3.HTTPConnectionPool:
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=MAX_IDLE_CONNECTIONS, retries=False
        )

    return HttpPlatform(make_pool, timeout_s)


class HttpPlatform(PlatformInterface):
    """Calls the platform over HTTP; a call is never repeated.

    A call without a complete reply closes all idle connections, since connections
    opened at about the same time may have become silent together.
    """

    def __init__(
        self,
        make_pool: Callable[[], urllib3.HTTPConnectionPool],
        timeout_s: float,
    ) -> None:
        """Set the factory of connection pools and the timeout of a call in seconds."""
        self._make_pool = make_pool
        self._pool = make_pool()
        self._timeout_s = timeout_s

    def get(self, kind: str, name: str) -> Result[PlatformObject, PlatformError]:
        """Read one object."""
        path = _object_path(kind, name)
        reply = self._call("GET", path)
        decoded = reply.bind(lambda response: _decode(path, response, _ObjectBody))
        return decoded.bind(lambda body: _check_object(path, kind, name, body))

    def list(self, kind: str) -> Result[ObjectList, PlatformError]:
        """Read all objects of a kind."""
        path = f"/v1/objects/{quote(kind, safe='')}"
        reply = self._call("GET", path)
        decoded = reply.bind(lambda response: _decode(path, response, _ListBody))
        return decoded.bind(lambda body: _check_list(path, kind, body))

    def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Result[PlatformObject, PlatformError]:
        """Write one object if its version is the expected one; 0 creates it."""
        if len(value) > MAX_VALUE_BYTES:
            message = f"{kind} {name}: {len(value)} bytes exceed {MAX_VALUE_BYTES}"
            return Failure(PlatformError(message, ResultCode.REQUEST_TOO_LARGE))
        path = _object_path(kind, name)
        reply = self._call("PUT", path, {"expected": expected_version}, value)
        decoded = reply.bind(lambda response: _decode(path, response, _PutReplyBody))
        return decoded.bind(
            lambda body: _check_object(
                path, kind, name, _ObjectBody(body.kind, body.name, body.version, value)
            )
        )

    def delete(
        self, kind: str, name: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Delete one object if its version is the expected one."""
        path = _object_path(kind, name)
        reply = self._call("DELETE", path, {"expected": expected_version})
        return reply.map(lambda _: None)

    def watch(
        self, kind: str, after_version: int, wait_s: float
    ) -> Result[WatchEvents, PlatformError]:
        """Wait for changes of a kind after a version, at most wait_s seconds."""
        path = f"/v1/watch/{quote(kind, safe='')}"
        query = {"after": after_version, "wait_ms": round(wait_s * 1000)}
        reply = self._call("GET", path, query, extra_wait_s=wait_s)
        decoded = reply.bind(lambda response: _decode(path, response, _WatchBody))
        return decoded.bind(lambda body: _check_watch(path, kind, after_version, body))

    def list_instances(self) -> Result[tuple[ListedInstance, ...], PlatformError]:
        """Read the list of live and leaving instances, which may be outdated."""
        path = "/v1/instances"
        reply = self._call("GET", path)
        decoded = reply.bind(lambda response: _decode(path, response, _InstancesBody))
        return decoded.map(
            lambda body: tuple(
                ListedInstance(*msgspec.structs.astuple(entry))
                for entry in body.instances
            )
        )

    def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, int] | None = None,
        body: bytes | None = None,
        extra_wait_s: float = 0.0,
    ) -> Result[_Reply, PlatformError]:
        query_text = "&".join(f"{key}={value}" for key, value in (query or {}).items())
        url = f"{path}?{query_text}" if query_text else path
        timeout = urllib3.Timeout(
            connect=self._timeout_s, read=self._timeout_s + extra_wait_s
        )
        pool = self._pool
        try:
            reply = _send_request(pool, method, url, body, timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._retire(pool)
            return Failure(PlatformError(f"{method} {url}: {error}"))
        if reply.status == 200:
            return Success(reply)
        return Failure(_status_error(method, url, reply))

    def _retire(self, pool: urllib3.HTTPConnectionPool) -> None:
        """Close a pool's idle connections; calls in flight continue."""
        if pool is self._pool:
            self._pool = self._make_pool()
            pool.close()


def _send_request(
    pool: urllib3.HTTPConnectionPool,
    method: str,
    url: str,
    body: bytes | None,
    timeout: urllib3.Timeout,
) -> _Reply:
    response = pool.urlopen(
        method,
        url,
        body=body,
        timeout=timeout,
        redirect=False,
        retries=False,
        preload_content=False,
    )
    try:
        content = response.read(MAX_REPLY_BYTES + 1)
        if len(content) > MAX_REPLY_BYTES:
            response.close()
    finally:
        response.release_conn()
    retry_after = response.headers.get("Retry-After", "")
    return _Reply(response.status, content, retry_after)


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _status_error(method: str, url: str, reply: _Reply) -> PlatformError:
    code = _CODE_BY_STATUS.get(reply.status)
    if code is None:
        is_server_error = reply.status >= 500
        code = (
            ResultCode.PLATFORM_UNAVAILABLE
            if is_server_error
            else ResultCode.PLATFORM_REPLY_INVALID
        )
    current_version = 0
    if code is ResultCode.PLATFORM_CONFLICT:
        body = _decode(url, reply, _ConflictBody)
        current_version = body.map(lambda conflict: conflict.version).value_or(0)
    return PlatformError(
        f"{method} {url}: status {reply.status}",
        code,
        current_version=current_version,
        retry_after_s=_retry_after_s(reply.retry_after),
    )


def _retry_after_s(header: str) -> float:
    try:
        seconds = float(header)
    except ValueError:
        return 0.0
    return min(max(seconds, 0.0), MAX_RETRY_AFTER_S)


def _decode(path: str, reply: _Reply, body_type: type) -> Result[Any, PlatformError]:
    if len(reply.body) > MAX_REPLY_BYTES:
        return _invalid(path, f"more than {MAX_REPLY_BYTES} bytes")
    try:
        return Success(msgspec.json.decode(reply.body, type=body_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _invalid(path, str(error))


def _invalid(path: str, reason: str) -> Result[Any, PlatformError]:
    message = f"{path}: invalid reply: {reason}"
    return Failure(PlatformError(message, ResultCode.PLATFORM_REPLY_INVALID))


def _as_object(body: _ObjectBody) -> PlatformObject:
    return PlatformObject(*msgspec.structs.astuple(body))


def _check_object(
    path: str, kind: str, name: str, body: _ObjectBody
) -> Result[PlatformObject, PlatformError]:
    if (body.kind, body.name) != (kind, name):
        return _invalid(path, f"object {body.kind}/{body.name} was not asked for")
    return Success(_as_object(body))


def _check_list(
    path: str, kind: str, body: _ListBody
) -> Result[ObjectList, PlatformError]:
    for item in body.objects:
        if item.kind != kind:
            return _invalid(path, f"unexpected object {item.kind}/{item.name}")
    objects_by_name = {item.name: _as_object(item) for item in body.objects}
    return Success(ObjectList(objects_by_name, body.version))


def _check_watch(
    path: str, kind: str, after_version: int, body: _WatchBody
) -> Result[WatchEvents, PlatformError]:
    if body.version < after_version:
        return _invalid(path, f"version {body.version} is older than {after_version}")
    for event in body.events:
        if event.kind != kind:
            return _invalid(path, f"unexpected event of {event.kind}/{event.name}")
    return Success(WatchEvents(tuple(map(_as_object, body.events)), body.version))
