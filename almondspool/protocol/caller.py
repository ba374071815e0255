"""Interface for callers: request and answer types, and their JSON codec."""

from __future__ import annotations

import abc
import enum
from typing import Annotated, NamedTuple, get_type_hints

import msgspec
from msgspec import Meta

from almondspool.codes import ResultCode
from almondspool.errors import RequestError

MAX_REQUEST_BYTES = 64 * 1024
MAX_DEADLINE_MS = 60_000
MAX_QUERY_TERMS = 32

_Name = Annotated[str, Meta(min_length=1, max_length=128)]


class SearchRequest(NamedTuple):
    """A caller's request, decoded and checked.

    Attributes:
        request_id: Chosen by the caller; a retry repeats it.
        team: The team whose section is searched.
        caller: The caller's name, which determines the priority.
        query: Required value by field name.
        services: Services to search; empty for all services of the team.
        shard: The only shard of a non-idempotent request; empty for a search.
        deadline_ms: Time left to answer, in milliseconds; 0 for the section's deadline.
        idempotent: False for a request that must run at most once.
        issued_at_ms: When the caller first issued the request, in ms since the epoch;
            required for a non-idempotent request, and repeated by its retries.
    """

    request_id: _Name
    team: _Name
    caller: Annotated[str, Meta(max_length=128)] = ""
    query: Annotated[dict[str, str], Meta(max_length=MAX_QUERY_TERMS)] = {}
    services: tuple[_Name, ...] = ()
    shard: Annotated[str, Meta(max_length=256)] = ""
    deadline_ms: Annotated[int, Meta(ge=0, le=MAX_DEADLINE_MS)] = 0
    idempotent: bool = True
    issued_at_ms: Annotated[int, Meta(ge=0)] = 0


class ShardOutcome(enum.StrEnum):
    """Outcome of one shard of a search."""

    ANSWERED = "answered"
    LATE = "late"
    FAILED = "failed"
    NOT_SENT = "not_sent"


class MissingShard(NamedTuple):
    """A shard that is missing from an answer, and the reason."""

    shard: str
    outcome: ShardOutcome
    code: ResultCode


class Coverage(NamedTuple):
    """Number of shards by outcome.

    Attributes:
        total: Number of shards searched; the next four counts add up to it.
        answered: Number of shards whose records are in the answer.
        late: Number of shards with a leg still open at the deadline.
        failed: Number of shards whose legs failed after they may have run.
        not_sent: Number of shards that no upstream ran.
        missing: The shards that did not answer, each with the reason.
    """

    total: int
    answered: int
    late: int
    failed: int
    not_sent: int
    missing: tuple[MissingShard, ...] = ()

    def is_consistent(self) -> bool:
        """Return whether every shard is counted exactly once."""
        counted = self.answered + self.late + self.failed + self.not_sent
        return counted == self.total and len(self.missing) == self.total - self.answered


NO_COVERAGE = Coverage(0, 0, 0, 0, 0)


class Record(NamedTuple):
    """A record that was found, with its fields by name."""

    record_id: str
    fields: dict[str, str]


class SearchAnswer(NamedTuple):
    """The answer to a request.

    Attributes:
        request_id: The request's id.
        code: OK, PARTIAL, or the reason why there is no answer.
        snapshot: The snapshot that was searched; 0 if nothing ran.
        generation: The generation of the document used for the request.
        coverage: Shards by outcome.
        records: Records found, ordered by id.
        elapsed_ms: Time from arrival to answer, in milliseconds.
        retry_after_ms: Time after which to retry; 0 if there is no reason to retry.
        message: Human-readable description in one line.
        instance: The instance that answered.
    """

    request_id: str
    code: ResultCode
    snapshot: int = 0
    generation: int = 0
    coverage: Coverage = NO_COVERAGE
    records: tuple[Record, ...] = ()
    elapsed_ms: float = 0.0
    retry_after_ms: int = 0
    message: str = ""
    instance: str = ""


class Entry(NamedTuple):
    """Address of an instance that callers may use."""

    instance: str
    address: str
    zone: str


class EntryList(NamedTuple):
    """Addresses that a caller may use, and for how long.

    Attributes:
        entries: Addresses in order of preference: nearest and least loaded first.
        ttl_ms: How long the caller may use this list, in milliseconds.
    """

    entries: tuple[Entry, ...]
    ttl_ms: int


class CallerInterface(abc.ABC):
    """Operations offered to callers, called by the HTTP routes."""

    @abc.abstractmethod
    def search(self, request: SearchRequest) -> SearchAnswer:
        """Run a request and return its final answer."""

    @abc.abstractmethod
    def entries(self, zone: str) -> EntryList:
        """Return the addresses that a caller in a zone should use."""


def _body_fields() -> list[tuple]:
    hints = get_type_hints(SearchRequest, include_extras=True)
    defaults = SearchRequest._field_defaults
    return [
        (name, hint, defaults[name]) if name in defaults else (name, hint)
        for name, hint in hints.items()
    ]


# A struct with the fields of SearchRequest, to decode it from a JSON object and refuse
# unknown keys; msgspec would decode the NamedTuple itself from a JSON array.
_RequestBody = msgspec.defstruct(
    "_RequestBody", _body_fields(), forbid_unknown_fields=True
)


def decode_request(body: bytes) -> SearchRequest:
    """Decode and check a request's JSON body.

    Raises:
        RequestError: With REQUEST_TOO_LARGE, REQUEST_MALFORMED or FIELD_INVALID.
    """
    if len(body) > MAX_REQUEST_BYTES:
        raise RequestError(
            f"request of {len(body)} bytes exceeds {MAX_REQUEST_BYTES}",
            ResultCode.REQUEST_TOO_LARGE,
        )
    try:
        decoded = msgspec.json.decode(body, type=_RequestBody)
    except msgspec.ValidationError as error:
        raise RequestError(str(error), ResultCode.FIELD_INVALID) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(str(error), ResultCode.REQUEST_MALFORMED) from error
    request = SearchRequest(*msgspec.structs.astuple(decoded))
    if not request.idempotent:
        _check_non_idempotent(request)
    return request


def _check_non_idempotent(request: SearchRequest) -> None:
    if not request.shard:
        raise RequestError(
            "a non-idempotent request must name its shard", ResultCode.FIELD_INVALID
        )
    if not request.issued_at_ms:
        raise RequestError(
            "a non-idempotent request must give issued_at_ms", ResultCode.FIELD_INVALID
        )


def as_json_value(value: object) -> object:
    """Convert nested NamedTuples to dictionaries for JSON."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: as_json_value(item) for key, item in value._asdict().items()}
    if isinstance(value, (tuple, list)):
        return [as_json_value(item) for item in value]
    if isinstance(value, dict):
        return {key: as_json_value(item) for key, item in value.items()}
    return value


def encode_answer(answer: SearchAnswer) -> bytes:
    """Return an answer as JSON."""
    return msgspec.json.encode(as_json_value(answer))


_STATUS_BY_CODE = {
    ResultCode.OK: 200,
    ResultCode.PARTIAL: 200,
    ResultCode.FAILED: 200,
    ResultCode.OUTCOME_UNKNOWN: 202,
    ResultCode.STILL_RUNNING: 202,
    ResultCode.REQUEST_DUPLICATE: 409,
    ResultCode.REQUEST_TOO_LARGE: 413,
    ResultCode.SERVICE_UNKNOWN: 404,
    ResultCode.SHARD_UNKNOWN: 404,
}
# HTTP status by the hundreds digit of the result code.
_STATUS_BY_GROUP = {1: 400, 2: 503, 3: 200}
_MS_PER_S = 1000


def http_status(code: ResultCode) -> int:
    """Return the HTTP status of an answer with a result code."""
    if code in _STATUS_BY_CODE:
        return _STATUS_BY_CODE[code]
    return _STATUS_BY_GROUP.get(int(code) // 100, 500)


def http_headers(answer: SearchAnswer) -> tuple[tuple[str, str], ...]:
    """Return the headers with the result code and, if set, Retry-After in seconds."""
    headers = [("X-Result-Code", str(int(answer.code)))]
    if answer.retry_after_ms:
        seconds = -(-answer.retry_after_ms // _MS_PER_S)
        headers.append(("Retry-After", str(seconds)))
    return tuple(headers)
