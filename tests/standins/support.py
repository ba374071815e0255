from __future__ import annotations

import http.client
import time
from typing import TYPE_CHECKING, Any

import msgspec

from almondspool.standins.web import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_S = 15.0
POLL_S = 0.01


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Poll until a condition holds, and fail after TIMEOUT_S.

    The description completes the sentence "timed out waiting until ...".
    """
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting until {description}")
        time.sleep(POLL_S)


def is_refused(address: str) -> bool:
    """Return whether a new connection to an ``ip:port`` address is refused."""
    connection = open_connection(address)
    try:
        connection.connect()
    except ConnectionRefusedError:
        return True
    finally:
        connection.close()
    return False


def open_connection(address: str) -> http.client.HTTPConnection:
    host, port = parse_address(address)
    return http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)


def call(
    connection: http.client.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None = None,
) -> tuple[int, Any]:
    """Make a call and return the status and the decoded JSON body, if any."""
    connection.request(method, path, body)
    response = connection.getresponse()
    data = response.read()
    return response.status, msgspec.json.decode(data) if data else None


def make_leg(leg_id: str, shard: str, **changes: object) -> dict[str, object]:
    """Return a leg that matches every record of a shard, with changed fields."""
    leg = {
        "leg_id": leg_id,
        "request_id": f"request-{leg_id}",
        "team": "alert-desk",
        "snapshot": 1,
        "shard": shard,
        "query": {},
        "deadline_ms": 10_000,
        "idempotent": True,
    }
    return leg | changes


def send_legs(connection: http.client.HTTPConnection, *legs: dict[str, object]) -> None:
    """Send legs in one request, without waiting for the reply."""
    connection.request("POST", "/v1/legs", msgspec.json.encode({"legs": legs}))


def run_legs(
    connection: http.client.HTTPConnection, *legs: dict[str, object]
) -> list[dict[str, Any]]:
    """Send legs in one request and return a result for each line of the reply."""
    send_legs(connection, *legs)
    lines = connection.getresponse().read().splitlines()
    return [msgspec.json.decode(line) for line in lines]
