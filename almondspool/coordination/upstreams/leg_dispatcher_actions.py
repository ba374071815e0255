"""Actions and statistics of the leg dispatcher."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from almondspool.protocol.upstream import Leg, LegResult


class StartExchange(NamedTuple):
    """Send legs to an upstream over one connection.

    Attributes:
        exchange_id: Identifies the exchange in the calls of on_result and on_end.
        upstream_id: The upstream.
        legs: The legs, with the remaining time as their deadline.
        timeout_s: Timeout of the whole exchange, in seconds.
    """

    exchange_id: int
    upstream_id: str
    legs: tuple[Leg, ...]
    timeout_s: float


class SendResult(NamedTuple):
    """Send a leg's only result to its sender.

    Attributes:
        sender: The sender that was passed to submit with the leg.
        result: The result.
    """

    sender: object
    result: LegResult


class CancelRuns(NamedTuple):
    """Cancel runs at an upstream for which no leg waits any more.

    Attributes:
        upstream_id: The upstream.
        leg_ids: The leg ids under which the runs were sent.
    """

    upstream_id: str
    leg_ids: tuple[str, ...]


Action = StartExchange | SendResult | CancelRuns


class UpstreamQueueStats(NamedTuple):
    """Statistics of one upstream's queue, for status and metrics.

    Attributes:
        upstream_id: The upstream.
        waiting: Runs that wait.
        in_flight: Exchanges in flight.
        limit: Adaptive limit of runs in flight.
        granted: Connections granted to this instance.
        oldest_wait_s: Wait of the oldest waiting run, in seconds.
        latency_s: Smoothed time to the first result of an exchange, in seconds.
        min_latency_s: Its decayed minimum, in seconds; 0 before the first result.
        arrived: Runs queued since the start.
        started: Runs sent since the start.
    """

    upstream_id: str
    waiting: int
    in_flight: int
    limit: int
    granted: int
    oldest_wait_s: float
    latency_s: float
    min_latency_s: float
    arrived: int
    started: int


class LegDispatcherCounts(NamedTuple):
    """Totals since the start.

    Attributes:
        legs: Legs submitted.
        runs_sent: Runs sent to upstreams.
        exchanges: Exchanges that carried them.
        shared: Legs that joined an equal run.
        shed: Legs answered with LEG_SHED because the queue was full.
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
