"""Report on an instance: gauges for metrics and a status for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.transport.route_metrics import RouteGauges

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.routing.placement import Placement
    from almondspool.routing.reachability import UpstreamReachability
    from almondspool.routing.replicas import ReplicaRegistry
    from almondspool.routing.retry_budget import RetryBudget
    from almondspool.routing.router import Router
    from almondspool.state.members import View
    from almondspool.transport.event_loop_lag import EventLoopLagMonitor
    from almondspool.transport.upstream_pools import UpstreamPools


class InstanceReport(NamedTuple):
    """Reads the gauges and the status from the parts of an instance."""

    instance: str
    router: Router
    pools: UpstreamPools
    registry: ReplicaRegistry
    budget: RetryBudget
    placement: Placement
    loop_lag: EventLoopLagMonitor
    view: Callable[[], View]
    can_serve: Callable[[], bool]
    reachability: UpstreamReachability

    def gauges(self, now: float) -> RouteGauges:
        """Return the gauges.

        Args:
            now: Current time, in monotonic seconds.
        """
        waiting_count, oldest_wait_s = self.pools.wait_stats()
        return RouteGauges(
            version=self.router.version,
            version_age_s=self.router.table_age_s(),
            in_flight=self.router.in_flight,
            connections_by_service=self.pools.connections_by_service(),
            waiting=waiting_count,
            oldest_wait_s=oldest_wait_s,
            budget_left=self.budget.min_available(now),
            longest_turn_s=self.loop_lag.max_lag_s(),
            serving=self.placement.serving_count(),
            isolated=int(self.reachability.is_isolated),
        )

    def status(self) -> dict[str, object]:
        """Return the status shown to operators."""
        members = sorted(self.view().members_by_instance.items())
        return {
            "instance": self.instance,
            "ready": self.can_serve(),
            "serving": self.placement.is_serving(),
            "isolated": self.reachability.is_isolated,
            "version": self.router.version,
            "in_flight": self.router.in_flight,
            "connections": self.pools.open_connections(),
            "members": {name: member.status.name for name, member in members},
            "replicas": len(self.registry.all()),
        }
