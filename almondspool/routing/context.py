"""Dependencies and constants shared by all routed requests of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.logs import EventLog
    from almondspool.protocol.exchange import HeaderCodec, LegSender
    from almondspool.routing.admission import SearchAdmission
    from almondspool.routing.crashes import CrashDetector
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.routing.retry_budget import RetryBudget
    from almondspool.routing.route_latencies import RouteLatencies
    from almondspool.routing.selection import ReplicaSelector
    from almondspool.routing.service_splitter import ServiceSplitter
    from almondspool.routing.utilization import UtilizationMeter
    from almondspool.transport.timers import TimerService

# Delay before a hedge or retry that the retry budget refused is tried again.
BUDGET_RETRY_DELAY_S = 0.010
# Time to assemble and send an answer on the slowest machine, plus the network jitter.
ANSWER_MARGIN_S = 0.004
# Assumed round trip to the caller if the kernel reports none: 1 to 3 ms each way.
DEFAULT_NETWORK_DELAY_S = 0.010
# How long the connection of a leg whose result is no longer needed stays open for the
# reply: longer than a pause of 120 ms and the time of the legs queued during it.
DETACHED_LEG_TIMEOUT_S = 0.300
# Bounds of the Retry-After of a refused request: the time in which a full queue empties
# several times, at random so that callers do not retry together.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 0.6


class RoutingContext(NamedTuple):
    """Dependencies of the routed requests of one instance.

    Attributes:
        timers: The clock and timers.
        rng: Source of the Retry-After of refused requests.
        log: The event log.
        sender: Sends legs to upstreams.
        codec: Encodes and decodes the headers of requests and replies.
        registry: The replicas of each service.
        selector: Chooses the replica of each leg.
        latencies: Leg latencies of each route.
        budget: The retry budget, which hedges and retries are charged to.
        admission: Admission control for searches.
        splitter: Chooses the service of a request that goes to one upstream.
        crashes: Detects requests that crash upstreams.
        utilization: Measures the utilization of this instance.
        record_leg: Called with the name of the route, the reason of a leg and its state
            ("sent", "won", "lost" or "cancelled"), or with "failed" and the outcome.
        record_pause: Called when sends to an unreachable replica are paused.
        record_search_wait: Called with the expected queue wait of each search, in
            seconds.
        record_hint: Called with the kind of each hint in a reply.
    """

    timers: TimerService
    rng: random.Random
    log: EventLog
    sender: LegSender
    codec: HeaderCodec
    registry: ReplicaRegistry
    selector: ReplicaSelector
    latencies: RouteLatencies
    budget: RetryBudget
    admission: SearchAdmission
    splitter: ServiceSplitter
    crashes: CrashDetector
    utilization: UtilizationMeter
    record_leg: Callable[[str, str, str], None]
    record_pause: Callable[[], None]
    record_search_wait: Callable[[float], None]
    record_hint: Callable[[str], None]

    def retry_after_s(self) -> float:
        """Return a random delay after which a refused caller may retry, in seconds."""
        return self.rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
