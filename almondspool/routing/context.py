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
    from almondspool.routing.splits import Splitter
    from almondspool.routing.utilization import UtilizationMeter
    from almondspool.transport.timers import TimerService

# Delay before the budget is asked again after it refused a hedge or a retry.
BUDGET_RETRY_DELAY_S = 0.010
# Time to assemble and send an answer on the slowest machine, and the network jitter.
ANSWER_MARGIN_S = 0.004
# Round trip to the caller where the kernel reports none: 1 to 3 ms each way.
DEFAULT_NETWORK_DELAY_S = 0.010
# How long the connection of a leg whose result is no longer needed is kept open for
# its reply: longer than a pause of 120 ms and the legs queued behind it.
DETACHED_LEG_TIMEOUT_S = 0.300
# Bounds of the Retry-After of a refused request: some legs later, and at random so that
# callers do not retry together.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 0.4


class RoutingContext(NamedTuple):
    """Dependencies of the routed requests of one instance."""

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
    splitter: Splitter
    crashes: CrashDetector
    utilization: UtilizationMeter
    record_leg: Callable[[str, str, str], None]
    record_pause: Callable[[], None]
    record_search_wait: Callable[[float], None]
    record_hint: Callable[[str], None]

    def retry_after_s(self) -> float:
        """Return a random delay after which a refused caller may retry, in seconds."""
        return self.rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
