"""HTTP client of the instances; tries them in order until one answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3

from almondspool.codes import ResultCode
from almondspool.errors import InstanceError
from almondspool.protocol.operator import (
    DOCUMENT_PATH,
    EXPLAIN_PATH,
    FLEET_PATH,
    SECTION_PREFIX,
    STATUS_PATH,
    ApplyAnswer,
    DocumentAnswer,
    ErrorAnswer,
    ExplainAnswer,
    FleetAnswer,
    SectionAnswer,
    StatusAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

_Answer = TypeVar("_Answer")


# An instance retries an acceptance for a while when the platform fails.
APPLY_TIMEOUT_S = 30.0


class InstanceClient:
    """Client that is served by the first of several instances to answer."""

    def __init__(self, addresses: Sequence[str], timeout_s: float) -> None:
        """Use the instances in the given order.

        Args:
            addresses: ``ip:port`` of each instance.
            timeout_s: Timeout of one call, in seconds.
        """
        self._addresses = tuple(addresses)
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def document(self) -> DocumentAnswer:
        """Return the document in force at an instance."""
        return self._get(DOCUMENT_PATH, DocumentAnswer)

    def section(self, team: str) -> SectionAnswer:
        """Return one section in force at an instance."""
        return self._get(SECTION_PREFIX + quote(team, safe=""), SectionAnswer)

    def apply(self, team: str, text: bytes, base: str, token: str) -> ApplyAnswer:
        """Submit a section; the token makes it safe to retry at the next instance."""
        query = urlencode({"base": base, "token": token})
        path = f"{SECTION_PREFIX}{quote(team, safe='')}?{query}"
        timeout_s = max(self._timeout_s, APPLY_TIMEOUT_S)
        body = self._call("PUT", path, text, timeout_s=timeout_s)
        return self._decode(path, body, ApplyAnswer)

    def status(self) -> StatusAnswer:
        """Return an instance's view of the system."""
        return self._get(STATUS_PATH, StatusAnswer)

    def fleet(self) -> FleetAnswer:
        """Return the status of the whole fleet."""
        return self._get(FLEET_PATH, FleetAnswer)

    def explain(self, team: str, shard: str) -> ExplainAnswer:
        """Return which upstream would run a shard now, and why."""
        query = urlencode({"team": team, "shard": shard})
        return self._get(f"{EXPLAIN_PATH}?{query}", ExplainAnswer)

    def entries(self, zone: str) -> dict[str, Any]:
        """Return the addresses that callers in a zone should use."""
        return self._get(f"/v1/entries?{urlencode({'zone': zone})}", dict[str, Any])

    def search(self, request: dict[str, Any]) -> dict[str, Any]:
        """Run a request; a non-idempotent one is sent to one instance only."""
        addresses = self._addresses if request["idempotent"] else self._addresses[:1]
        body = self._call("POST", "/v1/search", msgspec.json.encode(request), addresses)
        return self._decode("/v1/search", body, dict[str, Any])

    def _get(self, path: str, answer_type: type[_Answer]) -> _Answer:
        return self._decode(path, self._call("GET", path), answer_type)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        addresses: Sequence[str] | None = None,
        timeout_s: float | None = None,
    ) -> bytes:
        failures = []
        for address in addresses or self._addresses:
            try:
                response = self._pool.request(
                    method,
                    f"http://{address}{path}",
                    body=body,
                    timeout=timeout_s or self._timeout_s,
                )
            except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
                failures.append(f"{address}: {error}")
                continue
            return response.data
        raise InstanceError(f"no instance answered {path}: " + "; ".join(failures))

    def _decode(self, path: str, body: bytes, answer_type: type[_Answer]) -> _Answer:
        try:
            return msgspec.json.decode(body, type=answer_type)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            refusal = _decode_error(body)
            if refusal is not None:
                raise refusal from error
            raise InstanceError(f"{path}: cannot read the answer: {error}") from error


def _decode_error(body: bytes) -> InstanceError | None:
    """Return the error that a body holds, or None if it holds none."""
    try:
        answer = msgspec.json.decode(body, type=ErrorAnswer)
        return InstanceError(answer["message"], ResultCode(answer["code"]))
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
        return None
