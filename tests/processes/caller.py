"""Callers that follow the entry list and resend refused requests, as users' do."""

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

# Values of Attempt.code that are not result codes.
NO_ANSWER = -1
CONNECTION_REFUSED = -2
# Result codes.
QUARANTINED = 205
CODES_WITH_RECORDS = (0, 301)
SEND_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.05
BOOKING_READ_TIMEOUT_S = 20.0
# Added to the deadline of a search for the timeout of its answer.
READ_TIMEOUT_MARGIN_S = 2.0
DEADLINE_MS = 3000
_REQUEST_NUMBERS = itertools.count(1)


class Attempt(NamedTuple):
    """One request to one address.

    Attributes:
        request: The request, as sent in JSON.
        address: ``ip:port`` of the instance.
        code: Result code of the answer; NO_ANSWER or CONNECTION_REFUSED without one.
        answer: The answer, decoded from JSON; empty without one.
    """

    request: dict[str, Any]
    address: str
    code: int
    answer: dict[str, Any]

    def says_not_run(self) -> bool:
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
    """Return a search; those of successive numbers have different queries.

    Args:
        number: Selects the query, modulo the number of queries.
        fields: Fields of the request that replace the defaults.
    """
    return make_request(QUERIES[number % len(QUERIES)], **fields)


def make_request(query: Mapping[str, str], **fields: object) -> dict[str, Any]:
    """Return a search with a new request id; fields replace the defaults."""
    request = {
        "request_id": f"search-{next(_REQUEST_NUMBERS)}",
        "team": TEAM,
        "caller": "flood-desk",
        "query": dict(query),
        "deadline_ms": DEADLINE_MS,
    }
    return {**request, **fields}


def make_booking(shard: str, **fields: object) -> dict[str, Any]:
    """Return a non-idempotent request with a new request id."""
    booking = {
        "request_id": f"booking-{next(_REQUEST_NUMBERS)}-{time.time_ns()}",
        "shard": shard,
        "idempotent": False,
        "issued_at_ms": int(time.time() * 1000),
    }
    # The queries must differ: two bookings with equal queries that lose their
    # connections on one shard would count as a request that crashes searchers.
    return make_request({"revision": booking["request_id"]}, **{**booking, **fields})


def post(address: str, request: dict[str, Any]) -> Attempt:
    """Send a request once to one address and return the attempt."""
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
        return BOOKING_READ_TIMEOUT_S
    return request["deadline_ms"] / 1000 + READ_TIMEOUT_MARGIN_S


def post_concurrently(
    addresses: Sequence[str], requests: Sequence[dict[str, Any]]
) -> list[Attempt]:
    """Send each request to each address, all at the same time.

    Returns:
        The attempts, ordered by request and then by address.
    """
    pairs = list(itertools.product(requests, addresses))
    with concurrent.futures.ThreadPoolExecutor(len(pairs)) as pool:
        sent = [pool.submit(post, address, request) for request, address in pairs]
        return [future.result() for future in sent]


class Caller:
    """Caller that caches the entry list for its TTL and resends elsewhere if refused.

    Attributes:
        attempts: All attempts in the order of their answers.
    """

    def __init__(self, cluster: Cluster, zone: str = "") -> None:
        """Set up a caller that is configured with the address of every instance.

        Args:
            cluster: The cluster.
            zone: The caller's availability zone; empty for none.
        """
        self._configured_addresses = caller_addresses(cluster)
        self._zone = zone
        self._listed_addresses: list[str] = []
        self._entries_expire_at = 0.0
        self.attempts: list[Attempt] = []

    def search(self, query: Mapping[str, str], **fields: object) -> Attempt:
        """Send a search with this query; see send()."""
        return self.send(make_request(query, **fields))

    def send(self, request: dict[str, Any]) -> Attempt:
        """Send a request; retry elsewhere if refused, or if unanswered and idempotent.

        Returns:
            The last attempt.

        Raises:
            AssertionError: If no attempt is final within SEND_TIMEOUT_S.
        """
        deadline = time.monotonic() + SEND_TIMEOUT_S
        while time.monotonic() < deadline:
            for address in self.addresses():
                attempt = post(address, request)
                self.attempts.append(attempt)
                if not self._may_resend(attempt):
                    return attempt
            self._entries_expire_at = 0.0
            time.sleep(RETRY_INTERVAL_S)
        raise AssertionError(
            f"no final answer to {request}; last attempts: {self.attempts[-3:]}"
        )

    def addresses(self) -> list[str]:
        """Return the addresses to use, after renewing an expired entry list."""
        if time.monotonic() >= self._entries_expire_at:
            for address in (*self._listed_addresses, *self._configured_addresses):
                if self._fetch_entries(address):
                    break
        return self._listed_addresses or list(self._configured_addresses)

    def _fetch_entries(self, address: str) -> bool:
        url = f"http://{address}/v1/entries?zone={self._zone}"
        try:
            answer = urllib3.request("GET", url, timeout=1.0, retries=False).json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return False
        self._listed_addresses = [entry["address"] for entry in answer["entries"]]
        self._entries_expire_at = time.monotonic() + answer["ttl_ms"] / 1000
        return True

    def _may_resend(self, attempt: Attempt) -> bool:
        if attempt.code == QUARANTINED:
            return False
        if attempt.code == NO_ANSWER:
            return attempt.request.get("idempotent", True)
        return attempt.code == CONNECTION_REFUSED or attempt.says_not_run()


class Load:
    """Callers, each on a thread, that send requests during a with block.

    Attributes:
        final_attempts: The last attempt of each request.
        callers: The callers.
    """

    def __init__(
        self,
        cluster: Cluster,
        request_factory: Callable[[int], dict[str, Any]] = make_search,
        caller_count: int = 4,
    ) -> None:
        """Set up the callers without starting them.

        Args:
            cluster: The cluster.
            request_factory: Returns the request of a number; numbers count from 0.
            caller_count: Number of callers.
        """
        self.final_attempts: list[Attempt] = []
        self.callers = [Caller(cluster) for _ in range(caller_count)]
        self._request_factory = request_factory
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
            Exception: The first error that one of the callers met.
        """
        if self._errors:
            raise self._errors[0]
        return sum(
            attempt.code in CODES_WITH_RECORDS for attempt in self.final_attempts
        )

    def wait_for_more(self, answers: int) -> None:
        """Wait until this many further requests were answered with records."""
        target = self.count_answers() + answers
        wait_until(
            lambda: self.count_answers() >= target,
            f"{answers} more answers with records have arrived",
        )

    def all_attempts(self) -> list[Attempt]:
        """Return all attempts, in order for each caller in turn."""
        return [attempt for caller in self.callers for attempt in caller.attempts]

    def _run(self, caller: Caller) -> None:
        try:
            while not self._is_stopped.is_set():
                request = self._request_factory(next(self._numbers))
                self.final_attempts.append(caller.send(request))
        except BaseException as error:
            self._errors.append(error)
