"""What every routed request of an instance shares."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.logs import EventLog
    from almondspool.protocol.exchange import HttpForm, LegSender
    from almondspool.routing.admission import SearchAdmission
    from almondspool.routing.busy_share import BusyShare
    from almondspool.routing.crashes import CrashWatch
    from almondspool.routing.extra_sends import ExtraSendBudget
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.routing.route_times import RouteTimes
    from almondspool.routing.selection import ReplicaSelector
    from almondspool.routing.splits import Splitter
    from almondspool.transport.timers import TimerService

# A shard's second send is refused by the budget: asked again after this time.
BUDGET_RETRY_S = 0.010
# The own work of an answer, on the slowest machine, and the jitter of the ways.
ANSWER_MARGIN_S = 0.004
# Ways there and back where the kernel does not tell: 1 to 3 ms each way.
DEFAULT_WAY_S = 0.010
# A leg whose result is no longer needed may still end on its connection for this
# long: longer than a pause of 120 ms with the legs that wait behind it.
DETACH_S = 0.300
# When a caller that was refused had better come back: some legs later, and not all of
# them together.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 0.4


class RoutingContext(NamedTuple):
    """Shared parts of one instance."""

    timers: TimerService
    rng: random.Random
    log: EventLog
    sender: LegSender
    form: HttpForm
    registry: ReplicaRegistry
    selector: ReplicaSelector
    times: RouteTimes
    budget: ExtraSendBudget
    admission: SearchAdmission
    splitter: Splitter
    crashes: CrashWatch
    busy: BusyShare
    note_leg: Callable[[str, str, str], None]
    note_pause: Callable[[], None]
    note_search_wait: Callable[[float], None]
    note_wish: Callable[[str], None]

    def retry_after_s(self) -> float:
        """Return when a refused caller had better come back, in seconds."""
        return self.rng.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
