"""HTTP client of the operator and caller routes of the instances."""

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


# After these errors the instance may have received the request.
_REPLY_LOST_ERRORS = (
    urllib3.exceptions.ProtocolError,
    urllib3.exceptions.ReadTimeoutError,
)
# An instance answers late while the platform fails: it retries the write of a section.
MIN_APPLY_TIMEOUT_S = 30.0


class InstanceClient:
    """Client of several instances, which are tried in order until one answers.

    An instance that answers with an error ends the call: the others are not tried.
    Every method raises InstanceError if no instance answers or the answer cannot be
    decoded; with the code OUTCOME_UNKNOWN if an instance may have received a request
    other than a GET. An error answer is raised as InstanceError with its code, except
    by get_entries() and search(), which return it.
    """

    def __init__(self, addresses: Sequence[str], timeout_s: float) -> None:
        """Set the instances; no connection is opened yet.

        Args:
            addresses: ``ip:port`` of each instance, in the order to try them.
            timeout_s: Timeout of a call to one instance, in seconds.
        """
        self._addresses = tuple(addresses)
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def get_document(self) -> DocumentAnswer:
        """Return the generation and sections of the document in force."""
        return self._get(DOCUMENT_PATH, DocumentAnswer)

    def get_section(self, team: str) -> SectionAnswer:
        """Return a team's section of the document in force."""
        return self._get(SECTION_PREFIX + quote(team, safe=""), SectionAnswer)

    def apply_section(
        self, team: str, text: bytes, base: str, token: str
    ) -> ApplyAnswer:
        """Submit a section for acceptance.

        The token makes it safe to try the next instance after one that did not answer
        and may still have accepted the section.

        Args:
            team: The section's team.
            text: The section as YAML.
            base: Digest of the section that it was edited from; empty for a new one.
            token: Unique for the write; the same if the write is repeated.
        """
        query = urlencode({"base": base, "token": token})
        path = f"{SECTION_PREFIX}{quote(team, safe='')}?{query}"
        timeout_s = max(self._timeout_s, MIN_APPLY_TIMEOUT_S)
        body = self._call("PUT", path, text, timeout_s=timeout_s)
        return self._decode(path, body, ApplyAnswer)

    def get_status(self) -> StatusAnswer:
        """Return one instance's view of the members, its backlog and its calls."""
        return self._get(STATUS_PATH, StatusAnswer)

    def get_fleet_status(self) -> FleetAnswer:
        """Return what every instance last reported about itself."""
        return self._get(FLEET_PATH, FleetAnswer)

    def get_explanation(self, team: str, shard: str) -> ExplainAnswer:
        """Return which upstream would run a shard now, and why."""
        query = urlencode({"team": team, "shard": shard})
        return self._get(f"{EXPLAIN_PATH}?{query}", ExplainAnswer)

    def get_entries(self, zone: str) -> dict[str, Any]:
        """Return the instance addresses for callers in a zone, and their lifetime."""
        return self._get(f"/v1/entries?{urlencode({'zone': zone})}", dict[str, Any])

    def search(self, request: dict[str, Any]) -> dict[str, Any]:
        """Run a search request and return its answer, in the format of /v1/search.

        A non-idempotent request is sent to the first instance only: one that does not
        answer may still run it.
        """
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
        code = ResultCode.INSTANCE_UNREACHABLE
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
                if method != "GET" and isinstance(error, _REPLY_LOST_ERRORS):
                    code = ResultCode.OUTCOME_UNKNOWN
                continue
            return response.data
        message = f"no instance answered {path}: " + "; ".join(failures)
        raise InstanceError(message, code)

    def _decode(self, path: str, body: bytes, answer_type: type[_Answer]) -> _Answer:
        try:
            return msgspec.json.decode(body, type=answer_type)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            answered_error = _decode_error(body)
            if answered_error is not None:
                raise answered_error from error
            raise InstanceError(f"{path}: cannot read the answer: {error}") from error


def _decode_error(body: bytes) -> InstanceError | None:
    """Return the error that an instance answered, or None if the body is not one."""
    try:
        answer = msgspec.json.decode(body, type=ErrorAnswer)
        return InstanceError(answer["message"], ResultCode(answer["code"]))
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError):
        return None
