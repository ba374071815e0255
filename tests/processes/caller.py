"""Caller that follows the entry list and resends refused requests, as users' do."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import threading
import time
from typing import TYPE_CHECKING, Any, NamedTuple

import urllib3

from almondspool.standins.records import CHOICES_BY_FIELD_BY_KIND, SUMP_ALARMS
from tests.processes.support import TEAM, caller_addresses, wait_until

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from almondspool.standins.launcher import Cluster

NO_ANSWER = -1
CONNECTION_REFUSED = -2
QUARANTINED = 205
CODES_WITH_RECORDS = (0, 301)
SEND_TIMEOUT_S = 20.0
RETRY_S = 0.05
BOOKING_TIMEOUT_S = 20.0
DEADLINE_MARGIN_S = 2.0
DEADLINE_MS = 3000
_REQUEST_NUMBERS = itertools.count(1)


class Attempt(NamedTuple):
    """One request to one address, and its result code.

    The code is NO_ANSWER or CONNECTION_REFUSED if there is no answer.
    """

    request: dict[str, Any]
    address: str
    code: int
    answer: dict[str, Any]

    def is_not_run(self) -> bool:
        """Return whether the answer says that the request was not run."""
        return 200 <= self.code < 300


def _make_queries() -> list[dict[str, str]]:
    choices = CHOICES_BY_FIELD_BY_KIND[SUMP_ALARMS]
    return [
        {first: first_choice, second: second_choice}
        for first, second in itertools.combinations(choices, 2)
        for first_choice in choices[first]
        for second_choice in sorted(set(choices[second]))
    ]


QUERIES = _make_queries()


def make_search(number: int, **fields: object) -> dict[str, Any]:
    """Return a search whose query differs from that of the previous number."""
    return make_request(QUERIES[number % len(QUERIES)], **fields)


def make_request(query: Mapping[str, str], **fields: object) -> dict[str, Any]:
    """Return a search with a fresh id."""
    request = {
        "request_id": f"search-{next(_REQUEST_NUMBERS)}",
        "team": TEAM,
        "caller": "flood-desk",
        "query": dict(query),
        "deadline_ms": DEADLINE_MS,
    }
    return {**request, **fields}


def make_booking(shard: str, **fields: object) -> dict[str, Any]:
    """Return a non-idempotent request with a fresh id."""
    booking = {
        "request_id": f"booking-{next(_REQUEST_NUMBERS)}-{time.time_ns()}",
        "shard": shard,
        "idempotent": False,
        "issued_at_ms": int(time.time() * 1000),
    }
    # Bookings must differ: two equal ones that lose their connection on one shard count
    # as a request that crashes searchers.
    return make_request({"revision": booking["request_id"]}, **{**booking, **fields})


def post(address: str, request: dict[str, Any]) -> Attempt:
    """Send a request once to one address."""
    pool = urllib3.PoolManager(maxsize=1)
    try:
        response = pool.request(
            "POST",
            f"http://{address}/v1/search",
            body=json.dumps(request),
            timeout=urllib3.Timeout(connect=2.0, read=_read_timeout_s(request)),
            retries=False,
        )
        answer = json.loads(response.data)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ):
        return Attempt(request, address, CONNECTION_REFUSED, {})
    except (urllib3.exceptions.HTTPError, ValueError):
        return Attempt(request, address, NO_ANSWER, {})
    finally:
        pool.clear()
    return Attempt(request, address, answer["code"], answer)


def _read_timeout_s(request: dict[str, Any]) -> float:
    if not request.get("idempotent", True):
        return BOOKING_TIMEOUT_S
    return request["deadline_ms"] / 1000 + DEADLINE_MARGIN_S


def post_concurrently(
    addresses: Sequence[str], requests: Sequence[dict[str, Any]]
) -> list[Attempt]:
    """Send each request to each address, all at the same time."""
    pairs = list(itertools.product(requests, addresses))
    with concurrent.futures.ThreadPoolExecutor(len(pairs)) as pool:
        sent = [pool.submit(post, address, request) for request, address in pairs]
        return [future.result() for future in sent]


class Caller:
    """Caller that caches the entry list for its TTL and resends elsewhere if refused.

    Attributes:
        attempts: All attempts in order.
    """

    def __init__(self, cluster: Cluster, zone: str = "") -> None:
        """Start with every address, as from the caller's own configuration."""
        self._known_addresses = caller_addresses(cluster)
        self._zone = zone
        self._entries: list[str] = []
        self._expires_at = 0.0
        self.attempts: list[Attempt] = []

    def search(self, query: Mapping[str, str], **fields: object) -> Attempt:
        """Send a search until an address answers it."""
        return self.send(make_request(query, **fields))

    def send(self, request: dict[str, Any]) -> Attempt:
        """Send a request; retry elsewhere if refused, or if unanswered and idempotent.

        Raises:
            AssertionError: If every address refuses for SEND_TIMEOUT_S seconds.
        """
        deadline = time.monotonic() + SEND_TIMEOUT_S
        while time.monotonic() < deadline:
            for address in self.entries():
                attempt = post(address, request)
                self.attempts.append(attempt)
                if not self._may_resend(attempt):
                    return attempt
            self._expires_at = 0.0
            time.sleep(RETRY_S)
        raise AssertionError(f"no address took {request}: {self.attempts[-3:]}")

    def entries(self) -> list[str]:
        """Return the addresses to use, refreshing the entry list when it expired."""
        if time.monotonic() >= self._expires_at:
            for address in (*self._entries, *self._known_addresses):
                if self._look_up(address):
                    break
        return self._entries or list(self._known_addresses)

    def _look_up(self, address: str) -> bool:
        url = f"http://{address}/v1/entries?zone={self._zone}"
        try:
            answer = urllib3.request("GET", url, timeout=1.0, retries=False).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return False
        self._entries = [entry["address"] for entry in answer["entries"]]
        self._expires_at = time.monotonic() + answer["ttl_ms"] / 1000
        return True

    def _may_resend(self, attempt: Attempt) -> bool:
        if attempt.code == QUARANTINED:
            return False
        if attempt.code == NO_ANSWER:
            return attempt.request.get("idempotent", True)
        return attempt.code == CONNECTION_REFUSED or attempt.is_not_run()


class Load:
    """Load of callers, each on a thread, that send requests until the block ends.

    Attributes:
        attempts: The last attempt of each request.
        callers: The callers.
    """

    def __init__(
        self,
        cluster: Cluster,
        make: Callable[[int], dict[str, Any]] = make_search,
        callers: int = 4,
    ) -> None:
        """Set up callers that send the requests which make returns for each number."""
        self.attempts: list[Attempt] = []
        self.callers = [Caller(cluster) for _ in range(callers)]
        self._make = make
        self._numbers = itertools.count()
        self._is_stopped = threading.Event()
        self._errors: list[BaseException] = []
        self._threads = [
            threading.Thread(target=self._run, args=(caller,), daemon=True)
            for caller in self.callers
        ]

    def __enter__(self) -> Load:
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, kind: object, error: object, traceback: object) -> None:
        """Stop the callers, and raise the first error that one of them met."""
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()
        if self._errors and kind is None:
            raise self._errors[0]

    def count_answers(self) -> int:
        """Return how many requests were answered with records.

        Raises:
            AssertionError: The first error that one of the callers met.
        """
        if self._errors:
            raise self._errors[0]
        return sum(attempt.code in CODES_WITH_RECORDS for attempt in self.attempts)

    def wait_for_more(self, answers: int) -> None:
        """Wait until this many further requests were answered with records."""
        target = self.count_answers() + answers
        wait_until(
            lambda: self.count_answers() >= target, f"{answers} more answers are there"
        )

    def all_attempts(self) -> list[Attempt]:
        """Return all attempts of all callers."""
        return [attempt for caller in self.callers for attempt in caller.attempts]

    def _run(self, caller: Caller) -> None:
        try:
            while not self._is_stopped.is_set():
                request = self._make(next(self._numbers))
                self.attempts.append(caller.send(request))
        except BaseException as error:
            self._errors.append(error)
