"""Composition root: builds and connects the components of one instance."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import eventlet

from almondspool.coordination.admission.backlog_answers import backlog_rows
from almondspool.coordination.claims.claim_forwarding import ClaimHolders
from almondspool.coordination.claims.claims_task import ClaimPeers, make_claims_task
from almondspool.coordination.configuration.configuration_task import (
    start_configuration_task,
)
from almondspool.coordination.fleet.fleet_rows import summarize_queues
from almondspool.coordination.fleet.fleet_task import FleetDependencies, make_fleet_task
from almondspool.coordination.fleet.instance_operator import (
    InstanceOperator,
    OperatorDependencies,
)
from almondspool.coordination.membership.entries import choose_entries
from almondspool.coordination.membership.membership_task import (
    OwnRecordUpdate,
    make_membership_task,
)
from almondspool.coordination.peers.peer_dispatch import PeerDispatcher
from almondspool.coordination.peers.peer_messages import (
    PeerMessageHandlers,
    register_peer_messages,
)
from almondspool.coordination.peers.peer_sender import PeerSender
from almondspool.coordination.peers.suspicion_reports import SuspicionReports
from almondspool.coordination.search.request_handler import (
    RequestHandler,
    RequestHandlerDependencies,
)
from almondspool.coordination.search.request_pipeline import (
    PipelineDependencies,
    make_request_pipeline,
)
from almondspool.coordination.search.request_run import RunDependencies
from almondspool.coordination.search.search_context import make_context, renew_context
from almondspool.coordination.shutdown.shutdown import ShutdownSettings
from almondspool.coordination.shutdown.shutdown_task import (
    ShutdownDependencies,
    ShutdownTask,
    release_claims_and_shares,
)
from almondspool.coordination.store.platform_calls import (
    instance_calls_per_s,
    make_platform_calls,
)
from almondspool.coordination.upstreams.load_poll_task import LoadPollTask
from almondspool.coordination.upstreams.silent_connections import (
    SilentConnectionDetector,
)
from almondspool.events import MEMBER_REJOINED, MEMBER_VIEW_CHANGED, EventBus
from almondspool.protocol.caller_routes import CallerRoutes, HealthRoutes
from almondspool.protocol.document import MAX_SECTION_BYTES
from almondspool.protocol.fleet import InstanceSummary
from almondspool.protocol.http_platform import make_http_platform
from almondspool.protocol.http_upstream import make_http_upstream_client
from almondspool.protocol.operator import OperatorRoutes
from almondspool.protocol.peer import PeerCodec
from almondspool.transport.http_server import HttpServer
from almondspool.transport.metrics import Metrics
from almondspool.transport.peer_channel import PeerChannels
from almondspool.transport.timers import EventletTimers

if TYPE_CHECKING:
    from typing import Any

    from almondspool.codes import ResultCode
    from almondspool.coordination.claims.claims_task import ClaimsTask
    from almondspool.coordination.membership.member_actions import Rejoin
    from almondspool.logs import EventLog
    from almondspool.protocol.caller import EntryList
    from almondspool.protocol.peer import Suspicion
    from almondspool.protocol.upstream import LoadReport
    from almondspool.state.document import Document, Upstream

_OWN_STATE_PUBLISH_INTERVAL_S = 0.5
_STALE_CONNECTION_SWEEP_INTERVAL_S = 5.0


class Application:
    """One instance: its tasks, its listeners and its graceful shutdown."""

    def __init__(self, settings: Any, log: EventLog) -> None:
        """Build every component; nothing runs before start().

        Args:
            settings: The validated settings of the instance.
            log: Where all components write their events.

        Raises:
            AlmondspoolError: If the peer address is in use.
        """
        self._settings = settings
        self._log = log
        self._rng = random.Random()
        self._timers = EventletTimers()
        self._metrics = Metrics()
        self._events = EventBus()
        self._incarnation = self._timers.epoch_ms()
        self._build_transport()
        self._build_request_pipeline()
        self._build_shutdown()
        self._build_http()
        self._events.subscribe(MEMBER_VIEW_CHANGED, lambda _: self._on_view_changed())
        self._events.subscribe(MEMBER_REJOINED, self._on_rejoined)

    @property
    def exit_code(self) -> ResultCode | None:
        """The result code of the graceful shutdown; None until it has ended."""
        return self._shutdown.exit_code

    def start(self) -> None:
        """Open the listeners and start every task.

        Raises:
            OSError: If a listening address is in use.
        """
        settings = self._settings
        self._peer_channels.listen(settings.peer_address)
        self._configuration = start_configuration_task(
            settings.instance,
            self._platform_calls,
            self._peer_sender.send,
            self._timers,
            self._log,
            self._rng,
            self._on_document,
            self._membership.view,
            settings.watchers,
            settings.platform_poll_s,
        )
        eventlet.spawn(self._peer_dispatcher.run)
        self._shares.start()
        self._membership.start(settings.heartbeat_interval_s)
        self._timers.subscribe(_OWN_STATE_PUBLISH_INTERVAL_S, self._publish_own_state)
        self._timers.subscribe(
            _STALE_CONNECTION_SWEEP_INTERVAL_S, self._upstream_client.close_stale
        )
        self._load_polls.start()
        self._fleet.start()
        self._http.listen(settings.caller_address)
        self._log.write(
            "instance.started",
            instance=settings.instance,
            zone=settings.zone,
            incarnation=self._incarnation,
        )

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown, which ends when exit_code is set."""
        settings = self._settings
        self._shutdown.begin(
            ShutdownSettings(
                self._membership.propagation_time_s(),
                settings.entry_ttl_s,
                settings.drain_s,
            )
        )

    def interrupt_shutdown(self) -> None:
        """End the graceful shutdown at once and log the requests that it cuts off."""
        self._shutdown.interrupt()

    def _build_transport(self) -> None:
        settings = self._settings
        codec = PeerCodec(settings.peer_key)
        self._peer_channels = PeerChannels(
            settings.instance,
            codec,
            self._log,
            self._metrics.count_refusal,
            self._metrics.count_channel_bytes,
        )
        self._peer_channels.set_incarnation(self._incarnation)
        self._peer_dispatcher = PeerDispatcher(self._peer_channels, self._log)
        self._platform_calls = make_platform_calls(
            make_http_platform(settings.platform_address, settings.platform_timeout_s),
            self._timers,
            self._log,
            instance_calls_per_s(settings.platform_calls_per_s, 1),
            self._rng,
        )
        self._membership = make_membership_task(
            settings,
            self._incarnation,
            self._platform_calls,
            self._timers,
            self._events,
            self._log,
            self._metrics.registry,
        )
        self._claim_holders = ClaimHolders(self._membership.view)
        self._peer_sender = PeerSender(
            settings.instance, self._peer_channels, self._membership.view
        )
        self._upstream_client, self._deadline_sweep = make_http_upstream_client(
            self._timers, SilentConnectionDetector()
        )

    def _build_request_pipeline(self) -> None:
        settings = self._settings
        pipeline = make_request_pipeline(
            settings,
            self._incarnation,
            PipelineDependencies(
                self._timers,
                self._log,
                self._metrics.registry,
                self._platform_calls,
                self._membership,
                self._peer_sender,
                self._upstream_client,
                lambda upstream_id, report: self._load_polls.on_reply(
                    upstream_id, report
                ),
                self._rng,
            ),
        )
        self._leg_dispatcher = pipeline.leg_dispatcher
        self._shares = pipeline.shares
        self._leg_router = pipeline.router
        self._admission = pipeline.admission
        self._backlog = pipeline.backlog
        self._search_context = make_context(
            settings.instance,
            self._incarnation,
            settings.zone,
            settings.hedge_share,
            settings.quarantine_s,
            self._rng,
        )
        self._suspicion_reports = SuspicionReports(
            self._peer_sender.send_all, self._merge_suspicion, self._log
        )
        self._claims = self._make_claims()
        self._request_handler = RequestHandler(
            settings.instance, self._make_request_handler_dependencies()
        )
        self._load_polls = LoadPollTask(
            settings.instance,
            self._upstream_client,
            self._timers,
            self._held_upstreams,
            self._shares.holders,
            self._on_load_report,
            settings.upstream_poll_s,
        )
        self._fleet = make_fleet_task(
            settings.instance,
            self._incarnation,
            FleetDependencies(
                self._platform_calls,
                self._timers,
                self._log,
                self._peer_sender.send,
                self._membership.view,
                self._may_serve,
                self._membership.is_live,
                self._summarize_instance,
            ),
            settings.status_interval_s,
        )
        register_peer_messages(
            self._peer_dispatcher,
            PeerMessageHandlers(
                self._leg_dispatcher,
                self._leg_router,
                self._shares,
                lambda: self._configuration,
                lambda: self._claims,
                self._fleet,
                self._suspicion_reports,
            ),
        )

    def _make_claims(self) -> ClaimsTask:
        return make_claims_task(
            self._platform_calls,
            self._timers,
            self._log,
            self._settings.instance,
            self._incarnation,
            self._settings.claim_retention_s,
            self._membership.is_live,
            self._rng,
            ClaimPeers(self._peer_sender.send, self._claim_holder),
        )

    def _claim_holder(self, bucket: str) -> str:
        """Return the instance that holds a bucket of claims.

        It is empty while this instance may not serve, so that claims are written here.
        """
        return self._claim_holders.holder_of(bucket) if self._may_serve() else ""

    def _make_request_handler_dependencies(self) -> RequestHandlerDependencies:
        run = RunDependencies(
            self._timers,
            self._leg_router,
            self._log,
            self._metrics,
            self._suspicion_reports.report,
            self._settings.log_decisions,
            self._record_load_report,
        )
        return RequestHandlerDependencies(
            run=run,
            context=lambda: self._search_context,
            admission=self._admission,
            claims=lambda: self._claims,
            document=lambda: self._configuration.document,
            entries=self._choose_entries,
            may_serve=self._may_serve,
            may_finish=lambda deadline_s: self._shutdown.may_finish(deadline_s),
        )

    def _build_shutdown(self) -> None:
        self._shutdown = ShutdownTask(
            ShutdownDependencies(
                self._timers,
                self._log,
                self._request_handler.in_flight_ids,
                self._membership.announce_leaving,
                lambda: release_claims_and_shares(
                    self._timers, self._claims, self._shares
                ),
            )
        )

    def _build_http(self) -> None:
        settings = self._settings
        dependencies = OperatorDependencies(
            timers=self._timers,
            configuration=lambda: self._configuration,
            view=self._membership.view,
            chooser=lambda: self._search_context.chooser,
            backlog=lambda: backlog_rows(self._backlog.stats()),
            platform_calls=lambda: self._platform_calls.calls_by_method,
            may_serve=self._may_serve,
            is_leaving=self._shutdown.is_leaving,
            fleet=self._fleet.read,
        )
        operator = InstanceOperator(settings.instance, settings.zone, dependencies)
        self._http = HttpServer(MAX_SECTION_BYTES)
        CallerRoutes(self._request_handler).add_to(self._http)
        OperatorRoutes(operator).add_to(self._http)
        HealthRoutes(self._metrics.registry, self._is_ready).add_to(self._http)

    def _is_ready(self) -> bool:
        """Return whether callers may send requests here, for the readiness route."""
        return self._may_serve() and self._shutdown.accepts_requests()

    def _may_serve(self) -> bool:
        """Return whether view, leases and document allow this instance to serve.

        This stays true during a graceful shutdown, which runs admitted requests.
        """
        return self._membership.may_act() and self._configuration.is_ready()

    def _choose_entries(self, zone: str) -> EntryList:
        return choose_entries(
            self._membership.view(),
            self._membership.own(),
            zone,
            self._settings.entry_ttl_s,
            self._rng,
        )

    def _held_upstreams(self) -> dict[str, Upstream]:
        """Return by id the upstreams to which this instance has held connections."""
        allowed_by_upstream_id = self._shares.allowed_by_upstream_id()
        return self._configuration.document.select_upstreams(allowed_by_upstream_id)

    def _record_load_report(self, upstream_id: str, report: LoadReport) -> None:
        self._search_context.chooser.record_report(
            self._timers.now(), upstream_id, report
        )

    def _on_load_report(self, upstream_id: str, report: LoadReport) -> None:
        self._record_load_report(upstream_id, report)
        self._backlog.on_load(upstream_id, report)

    def _on_document(self, document: Document) -> None:
        self._metrics.generation.set(document.generation)
        self._leg_dispatcher.set_document(document)
        self._backlog.set_document(document)
        upstreams_by_id = document.upstreams_by_id()
        self._search_context.chooser.forget_absent(upstreams_by_id)
        self._shares.set_upstreams(upstreams_by_id)
        self._publish_own_state()

    def _on_view_changed(self) -> None:
        self._configuration.post_view_change()
        view = self._membership.view()
        total_per_s = self._settings.platform_calls_per_s
        self._platform_calls.set_rate(
            instance_calls_per_s(total_per_s, len(view.present()))
        )
        self._peer_sender.close_dead_channels()

    def _on_rejoined(self, rejoin: Rejoin) -> None:
        """Start the new session of this instance in every component.

        All connections are closed and all leases given up on return, as MembershipTask
        requires of subscribers.
        """
        self._incarnation = rejoin.incarnation
        self._peer_channels.set_incarnation(rejoin.incarnation)
        self._shares.rejoin(rejoin.incarnation)
        self._fleet.rejoin(rejoin.incarnation)
        self._search_context = renew_context(
            self._search_context, self._settings.instance, rejoin.incarnation
        )
        self._claims = self._make_claims()

    def _summarize_instance(self) -> InstanceSummary:
        return InstanceSummary(
            self._settings.instance,
            self._incarnation,
            self._settings.zone,
            self._configuration.document.generation,
            self._request_load(),
            self._may_serve(),
            self._shutdown.is_leaving(),
            summarize_queues(self._backlog.stats()),
        )

    def _request_load(self) -> float:
        """Return the requests in flight as a share of the limit, at most 1.0."""
        return min(
            1.0, self._request_handler.in_flight() / self._settings.concurrent_requests
        )

    def _publish_own_state(self) -> None:
        generation = self._configuration.document.generation
        can_route = self._configuration.is_ready() and self._shares.knows_holders()
        can_serve = can_route or not generation
        self._membership.update_own_record(
            OwnRecordUpdate(
                generation, self._request_load(), self._shares.version(), can_serve
            )
        )

    def _merge_suspicion(self, suspicion: Suspicion) -> bool:
        quarantine = self._search_context.quarantine
        return quarantine.merge(self._timers.epoch_ms(), suspicion)


def make_application(settings: Any, log: EventLog) -> Application:
    """Return the application of one instance, not started."""
    return Application(settings, log)
