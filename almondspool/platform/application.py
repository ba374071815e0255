"""Application object of an instance on the platform, which connects its parts."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

from almondspool.coordination.membership.membership_task import OwnRecordUpdate
from almondspool.events import MEMBER_VIEW_CHANGED, REQUEST_SUSPECTED, EventBus
from almondspool.platform import configuration, entries
from almondspool.platform.handlers import ConfigurationHandler, EntryHandler
from almondspool.platform.header_codec import PlatformHeaderCodec
from almondspool.platform.lookups import LookupDependencies, LookupEndpoints
from almondspool.platform.membership import (
    HEARTBEAT_INTERVAL_S,
    make_platform_membership,
)
from almondspool.platform.reports import InstanceReport
from almondspool.platform.settings import METRICS_PORT
from almondspool.platform.store import ObjectStoreClient, StorePosition
from almondspool.platform.store_following import (
    FleetStartState,
    StoreFollower,
    StoreFollowerDependencies,
)
from almondspool.platform.watches import MIN_WATCH_INTERVAL_S
from almondspool.routing.admission import SearchAdmission
from almondspool.routing.context import RoutingContext
from almondspool.routing.crashes import CrashDetector
from almondspool.routing.fleet_shares import FleetShares
from almondspool.routing.graceful_shutdown import GracefulShutdown
from almondspool.routing.placement import Placement
from almondspool.routing.reachability import UpstreamReachability
from almondspool.routing.relay import (
    MAX_CONNECTIONS_PER_PEER,
    RelayPeer,
    RequestRelay,
)
from almondspool.routing.replicas import ReplicaRegistry
from almondspool.routing.retry_budget import RetryBudget, RetryBudgetLimits
from almondspool.routing.route_latencies import RouteLatencies
from almondspool.routing.router import Router
from almondspool.routing.selection import ReplicaSelector
from almondspool.routing.service_splitter import ServiceSplitter
from almondspool.routing.staleness import ENTRIES_STALE_AFTER_S, StalenessDetector
from almondspool.routing.utilization import UtilizationMeter
from almondspool.routing.watcher_selector import WatcherSelector
from almondspool.state.routes import CallerLimits
from almondspool.transport.caller_server import CallerServer
from almondspool.transport.event_loop_lag import EventLoopLagMonitor
from almondspool.transport.hub_socket import ConnectFailure, parse_host_port
from almondspool.transport.route_metrics import RouteMetrics
from almondspool.transport.upstream_pools import UpstreamPools

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondspool.logs import EventLog
    from almondspool.platform.settings import PlatformSettings
    from almondspool.state.members import Member, View
    from almondspool.state.routes import Replica, RouteTable
    from almondspool.transport.hub_timers import HubTimers

HOUSEKEEPING_INTERVAL_S = 1.0
OWN_STATE_INTERVAL_S = 0.25
# Collects membership changes, which come in bursts as instances start or stop together.
REBALANCE_DELAY_S = 0.05
# Collects changes of entries, which come in bursts as searchers start together. With
# this interval a draining searcher gets no more requests after two of its three seconds
# of draining.
ENTRY_WATCH_INTERVAL_S = 1.0
# The same while replicas are kept without an entry: most entries that expired together
# are renewed within two seconds, and a replica may be kept for less than that.
LAPSED_ENTRY_WATCH_INTERVAL_S = 0.25


class PlatformApplication:
    """One instance on the platform: its tasks, its listeners and its shutdown."""

    def __init__(
        self, settings: PlatformSettings, timers: HubTimers, log: EventLog
    ) -> None:
        """Build every part; nothing runs before start().

        Raises:
            AlmondspoolError: If the peer address is in use.
        """
        self._settings = settings
        self._timers = timers
        self._log = log
        self._rng = random.Random()
        self._metrics = RouteMetrics()
        self._events = EventBus()
        self._codec = PlatformHeaderCodec()
        self._store = ObjectStoreClient(
            settings.store_address, self._metrics.record_store_call
        )
        self._shares = FleetShares(settings.instance, settings.zone, timers.now())
        self._last_recorded_members: tuple[Member, ...] = ()
        # Sessions of the instances that were ready, to notice those that no longer are.
        self._ready_session_by_instance: dict[str, int] = {}
        # Instances to relay requests to while no upstream can be reached.
        self._relay_peers: tuple[RelayPeer, ...] = ()
        self._is_rebalance_pending = False
        self._utilization = UtilizationMeter(timers.now())
        self._configuration_staleness = StalenessDetector()
        self._entry_staleness = StalenessDetector(ENTRIES_STALE_AFTER_S)
        self._history_staleness_by_kind = {
            kind: StalenessDetector() for kind in (configuration.KIND, entries.KIND)
        }
        self._watcher_selector = WatcherSelector(
            settings.instance, settings.zone, self._rng
        )
        self._membership = make_platform_membership(
            settings, self._store, timers, self._events, log, self._metrics.registry
        )
        self._store_follower = StoreFollower(
            settings,
            StoreFollowerDependencies(
                timers,
                log,
                self._rng,
                self._store,
                self._membership.view,
                self._watcher_selector,
                self._metrics.record_watcher_call,
            ),
            (configuration.KIND, entries.KIND),
        )
        self._build_routing()
        self._loop_lag = EventLoopLagMonitor(OWN_STATE_INTERVAL_S)
        self._report = InstanceReport(
            settings.instance,
            self._router,
            self._pools,
            self._registry,
            self._budget,
            self._placement,
            self._loop_lag,
            self._membership.view,
            self._can_serve,
            self._reachability,
        )
        self._build_servers()
        self._shutdown = GracefulShutdown(
            settings.grace_s,
            timers,
            log,
            (self._caller_server, self._relay_server),
            self._router,
            self._membership,
        )
        self._metrics.register_gauges(lambda: self._report.gauges(timers.now()))
        self._events.subscribe(
            MEMBER_VIEW_CHANGED, lambda _: self._schedule_rebalance()
        )
        self._events.subscribe(REQUEST_SUSPECTED, self._crashes.merge)

    @property
    def is_stopped(self) -> bool:
        """Return whether the graceful shutdown has ended."""
        return self._shutdown.is_finished

    def start(self) -> None:
        """Listen and start every task.

        Raises:
            OSError: If a listening address is in use.
        """
        settings = self._settings
        # Before the membership starts, as the first record that it propagates must not
        # mark the instance as ready.
        self._publish_own_state()
        self._membership.start(HEARTBEAT_INTERVAL_S)
        self._start_store_follower()
        self._caller_server.listen(settings.caller_address)
        self._mirror_server.listen(f"{settings.ip}:{settings.peer_port}")
        self._relay_server.listen(f"{settings.ip}:{settings.relay_port}")
        for address in (
            settings.ready_address,
            settings.lookup_address,
            settings.operator_address,
            f"{settings.ip}:{METRICS_PORT}",
        ):
            if address:
                self._lookup_server.listen(address)
        self._timers.subscribe(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)
        self._timers.subscribe(OWN_STATE_INTERVAL_S, self._on_tick)
        self._log.write(
            "instance.started",
            instance=settings.instance,
            zone=settings.zone,
            callers=settings.caller_address,
            store=settings.store_address,
        )

    def _start_store_follower(self) -> None:
        configuration_handler = ConfigurationHandler(self._apply_table, self._log)
        entry_handler = EntryHandler(
            self._registry,
            self._timers.now,
            self._metrics.invalid_entries.inc,
            self._on_entries_changed,
            self._log,
        )
        self._store_follower.follow(
            configuration.KIND,
            configuration_handler,
            lambda: MIN_WATCH_INTERVAL_S,
            _configuration_version,
        )
        self._store_follower.follow(
            entries.KIND,
            entry_handler,
            self._entry_watch_interval_s,
            _entries_position,
            self._fleet_start_state,
        )

    def _fleet_start_state(self) -> FleetStartState:
        """Update the placement, and return what the first read of entries waits for."""
        self._rebalance()
        is_new = self._placement.is_new_fleet
        is_known = self._membership.may_act()
        now = self._timers.now()
        is_converged = self._shares.is_converged(now)
        if is_new:
            is_known = is_known and is_converged
        known_count = self._shares.instance_count(now) if is_converged else 0
        return FleetStartState(is_known, is_new, known_count)

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        self._shutdown.start()

    def reload(self, settings: PlatformSettings) -> None:
        """Apply changed settings; the listening addresses stay those of the start."""
        changed = [
            field
            for field in settings._fields
            if getattr(settings, field) != getattr(self._settings, field)
        ]
        self._settings = settings
        self._budget.set_limits(_retry_budget_limits(settings))
        self._log.write("instance.reloaded", changed=changed)

    def _build_routing(self) -> None:
        now = self._timers.now
        self._pools = UpstreamPools(
            self._codec, now, self._connection_quota, self._record_connect
        )
        self._selector = ReplicaSelector(
            self._settings.zone,
            self._pools,
            self._rng,
            lambda replica, rate_limit: self._shares.max_request_rate(
                now(), rate_limit, replica
            ),
        )
        self._registry = ReplicaRegistry(
            self._log, self._remove_replica, self._settings.entry_times
        )
        self._reachability = UpstreamReachability(
            self._timers,
            self._rng,
            self._registry.all,
            self._pools.connect,
            self._on_isolation_changed,
            self._log,
        )
        self._budget = RetryBudget(_retry_budget_limits(self._settings))
        self._budget.set_share_divisor(self._shares.share_divisor(now()))
        self._placement = Placement(
            self._settings.instance,
            self._settings.zone,
            self._shares,
            self._registry,
            self._rng,
            self._settings.is_first_start,
        )
        self._crashes = CrashDetector(
            self._timers.epoch_ms,
            self._pools.probe,
            self._membership.broadcast,
            self._registry.is_leaving,
            self._log,
            self._reachability.check,
        )
        context = RoutingContext(
            timers=self._timers,
            rng=self._rng,
            log=self._log,
            sender=self._pools,
            codec=self._codec,
            registry=self._registry,
            selector=self._selector,
            latencies=RouteLatencies(),
            budget=self._budget,
            admission=SearchAdmission(),
            splitter=ServiceSplitter(self._rng),
            crashes=self._crashes,
            utilization=self._utilization,
            record_leg=self._metrics.record_leg,
            record_pause=self._metrics.replica_pauses.inc,
            record_search_wait=self._metrics.record_search_wait,
            record_hint=self._metrics.record_hint,
        )
        relay = RequestRelay(
            self._settings.instance,
            self._settings.zone,
            UpstreamPools(self._codec, now, lambda _: MAX_CONNECTIONS_PER_PEER),
            lambda: self._reachability.is_isolated,
            lambda: self._relay_peers,
            self._rng,
        )
        self._router = Router(context, self._metrics.record_request)
        self._router.set_relay(relay)

    def _build_servers(self) -> None:
        self._caller_server = CallerServer(
            self._codec,
            self._timers,
            self._router.handle,
            self._caller_limits,
            self._metrics.record_rejected,
        )
        self._relay_server = CallerServer(
            self._codec,
            self._timers,
            self._router.handle_relayed,
            self._caller_limits,
            self._metrics.record_rejected,
        )
        lookup_endpoints = LookupEndpoints(
            LookupDependencies(
                self._placement.addresses,
                self._can_serve,
                self._address_ttl_s,
                self._metrics.registry,
                self._report.status,
            )
        )
        self._mirror_server = CallerServer(
            self._codec,
            self._timers,
            self._store_follower.mirror_endpoints.handle,
            CallerLimits,
            self._metrics.record_rejected,
        )
        self._lookup_server = CallerServer(
            self._codec,
            self._timers,
            lookup_endpoints.handle,
            CallerLimits,
            self._metrics.record_rejected,
        )

    def _apply_table(self, table: RouteTable) -> None:
        self._router.set_table(table)
        self._metrics.remove_absent_routes({route.name for route in table.routes()})
        self._log.write(
            "configuration.in_force",
            version=table.version,
            routes=len(table.routes()),
            services=len(table.services_by_name),
        )
        self._pools.refresh_quotas()
        self._preconnect_replicas()

    def _preconnect_replicas(self) -> None:
        if self._reachability.is_isolated:
            return
        now = self._timers.now()
        for replica in self._placement.replicas_to_connect(
            now, self._services_in_use()
        ):
            self._pools.preconnect(replica)

    def _on_entries_changed(self) -> None:
        self._preconnect_replicas()
        self._schedule_drop()

    def _entry_watch_interval_s(self) -> float:
        if self._registry.next_drop_at() < math.inf:
            return LAPSED_ENTRY_WATCH_INTERVAL_S
        return ENTRY_WATCH_INTERVAL_S

    def _schedule_drop(self) -> None:
        """Drop the next replica that is kept without an entry when it is due."""
        drop_at = self._registry.next_drop_at()
        if drop_at < math.inf:
            self._timers.call_later(drop_at - self._timers.now(), self._drop_expired)

    def _drop_expired(self) -> None:
        self._registry.drop_expired(self._timers.now())
        self._schedule_drop()

    def _services_in_use(self) -> Iterable[str]:
        return self._router.table.services_in_use if self._router.table else ()

    def _connection_quota(self, replica: Replica) -> int:
        table = self._router.table
        service = table.services_by_name.get(replica.service) if table else None
        if service is None:
            return 0
        return self._shares.max_connections(
            self._timers.now(), service.max_connections, replica
        )

    def _record_connect(self, replica_id: str, failure: ConnectFailure | None) -> None:
        self._metrics.record_connect(failure.value if failure else "connected")
        # A reset connection was accepted before, so that the upstream is reachable.
        is_connected = failure in (None, ConnectFailure.RESET)
        self._reachability.record_connect(replica_id, is_connected)

    def _on_isolation_changed(self, is_isolated: bool) -> None:
        self._publish_own_state()
        if is_isolated:
            self._update_relay_peers()
            self._router.relay_repeatable()
        else:
            self._selector.end_pauses()
            self._preconnect_replicas()

    def _check_isolated_members(self, view: View) -> None:
        """Notice members that run on but can no longer serve callers."""
        ready_sessions = self._ready_session_by_instance
        unready_count = sum(
            not member.ready and ready_sessions.get(member.instance) == member.session
            for member in view.present()
            if member.instance != self._settings.instance
        )
        if unready_count:
            self._reachability.on_peer_isolated()
        self._ready_session_by_instance = {
            member.instance: member.session for member in view.serving()
        }

    def _update_relay_peers(self) -> None:
        """Update the instances that can serve the callers of this one."""
        settings = self._settings
        serving = self._placement.serving_instances()
        members = [
            member
            for member in self._membership.view().serving()
            if member.instance != settings.instance
        ]
        self._relay_peers = tuple(
            RelayPeer(
                member.instance,
                member.zone,
                f"{parse_host_port(member.peer_address)[0]}:{settings.relay_port}",
                member.load,
                member.generation,
            )
            for member in members
            if member.instance in serving
        )

    def _remove_replica(self, replica_id: str) -> None:
        self._pools.retire(replica_id)
        self._selector.forget(replica_id)

    def _rebalance(self) -> None:
        """Recompute the set of serving instances, and this one's shares of limits."""
        self._is_rebalance_pending = False
        now = self._timers.now()
        view = self._membership.view()
        serving = view.serving()
        self._watcher_selector.update(
            {member.instance: member.zone for member in serving}
        )
        self._check_isolated_members(view)
        self._last_recorded_members = self._membership.recorded_members()
        change = self._placement.update(
            now,
            view,
            self._membership.own(),
            self._last_recorded_members,
            self._services_in_use(),
        )
        if change.has_serving_set_changed:
            self._log.write(
                "placement.changed",
                serving=self._placement.serving_count(),
                own=self._placement.is_serving(),
                ready=len(serving),
                version=self._router.version,
            )
        if change.have_shares_changed:
            self._budget.set_share_divisor(self._shares.share_divisor(now))
            self._pools.refresh_quotas()
            self._selector.refresh_rate_quotas()
            self._log.write(
                "shares.changed",
                instances=self._shares.instance_count(now),
                present=len(view.present()),
            )

    def _schedule_rebalance(self) -> None:
        """Rebalance after a delay, once for all membership changes in that time."""
        if not self._is_rebalance_pending:
            self._is_rebalance_pending = True
            self._timers.call_later(REBALANCE_DELAY_S, self._rebalance)

    def _address_ttl_s(self) -> float:
        return min(self._placement.ttl_s(self._timers.now()), self._settings.ttl_max_s)

    def _run_housekeeping(self) -> None:
        now = self._timers.now()
        self._registry.drop_expired(now)
        self._pools.close_stale()
        self._rebalance()
        self._preconnect_replicas()

    def _on_tick(self) -> None:
        self._loop_lag.tick(self._timers.now())
        self._publish_own_state()
        if self._reachability.is_isolated:
            self._update_relay_peers()
        self._check_staleness()
        if self._membership.recorded_members() is not self._last_recorded_members:
            self._rebalance()

    def _check_staleness(self) -> None:
        """List a kind again if a member has had a newer state for too long."""
        own_version = self._router.version
        members = self._membership.view().present()
        newest_version = max(map(_configuration_version, members), default=0)
        if self._configuration_staleness.is_reread_due(
            self._timers.now(), own_version, newest_version
        ):
            self._log.write(
                "configuration.behind", version=own_version, newest=newest_version
            )
            self._store_follower.relist(configuration.KIND)
        own_position = self._store_follower.position(entries.KIND).to_int()
        newest_position = max(map(_entries_position, members), default=0)
        if self._entry_staleness.is_reread_due(
            self._timers.now(), own_position, newest_position
        ):
            self._log.write(
                "entries.behind", position=own_position, newest=newest_position
            )
            self._store_follower.relist(entries.KIND)
        self._check_history(newest_position)

    def _check_history(self, newest_position: int) -> None:
        """List the kinds of a lost history again, as their watches may hang.

        Args:
            newest_position: The newest position of a member.
        """
        newest = max(
            self._store.history, StorePosition.from_int(newest_position).history
        )
        for kind, staleness in self._history_staleness_by_kind.items():
            own = self._store_follower.position(kind)
            if own.revision and staleness.is_reread_due(
                self._timers.now(), own.history, newest
            ):
                self._log.write(
                    "store.history_behind",
                    kind=kind,
                    history=own.history,
                    newest=newest,
                )
                self._store_follower.relist(kind)

    def _publish_own_state(self) -> None:
        self._utilization.tick(self._timers.now())
        position = self._store_follower.position(entries.KIND)
        self._membership.update_own_record(
            OwnRecordUpdate(
                self._router.version,
                self._utilization.value(),
                position.to_int(),
                self._can_serve(),
            )
        )

    def _can_serve(self) -> bool:
        has_data = self._router.table is not None and self._registry.is_loaded
        is_able = not self._shutdown.is_started and not self._reachability.is_isolated
        return has_data and is_able

    def _caller_limits(self) -> CallerLimits:
        return self._router.table.limits if self._router.table else CallerLimits()


def _configuration_version(member: Member) -> int:
    return member.generation


def _entries_position(member: Member) -> int:
    # The platform's store holds no connection shares: the field shares_version of the
    # record carries the position of the entries instead.
    return member.shares_version


def _retry_budget_limits(settings: PlatformSettings) -> RetryBudgetLimits:
    bounds = settings.extra_sends
    return RetryBudgetLimits(bounds.ratio, bounds.slack, bounds.window_s)


def make_platform_application(
    settings: PlatformSettings, timers: HubTimers, log: EventLog
) -> PlatformApplication:
    """Return the application of one instance, not yet started."""
    return PlatformApplication(settings, timers, log)
