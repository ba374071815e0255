"""What the leg dispatcher decides and reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.protocol.upstream import Leg, LegResult


class StartExchange(NamedTuple):
    """Send legs to an upstream over one connection.

    Attributes:
        exchange_id: Named again in on_result and on_end.
        upstream_id: Where to.
        legs: The legs, with the time left as their deadline.
        timeout_s: Total time for the exchange, in seconds.
    """

    exchange_id: int
    upstream_id: str
    legs: tuple[Leg, ...]
    timeout_s: float


class SendResult(NamedTuple):
    """Send a leg's one result to whoever submitted the leg."""

    sender: object
    result: LegResult


class CancelRunning(NamedTuple):
    """Tell an upstream that nobody wants these results any more."""

    upstream_id: str
    leg_ids: tuple[str, ...]


Action = StartExchange | SendResult | CancelRunning


class LaneRow(NamedTuple):
    """One upstream's state for status and metrics.

    Attributes:
        upstream_id: The upstream.
        waiting: Runs that wait.
        in_flight: Exchanges that run.
        limit: Adaptive limit of exchanges.
        granted: Connections granted to this instance.
        oldest_wait_s: Age of the run that waits longest, in seconds.
        latency_s: Smoothed time to the first result of an exchange, in seconds.
        least_latency_s: Its decayed minimum, in seconds; 0 before the first.
        arrived: Runs that came to wait, since the start.
        started: Runs that were sent, since the start.
    """

    upstream_id: str
    waiting: int
    in_flight: int
    limit: int
    granted: int
    oldest_wait_s: float
    latency_s: float
    least_latency_s: float
    arrived: int
    started: int


class LegDispatcherCounts(NamedTuple):
    """Totals since the start.

    Attributes:
        legs: Legs submitted.
        runs_sent: Runs sent to upstreams.
        exchanges: Exchanges that carried them.
        shared: Legs that joined an equal run.
        shed: Legs answered LEG_SHED here, for lack of room.
        expired: Legs whose deadline passed before they were sent.
        cancelled: Legs cancelled.
    """

    legs: int = 0
    runs_sent: int = 0
    exchanges: int = 0
    shared: int = 0
    shed: int = 0
    expired: int = 0
    cancelled: int = 0
