"""The application object: wires the parts of one instance and does nothing else."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import eventlet

from almondspool.coordination.admission_task import make_admission_task
from almondspool.coordination.claims_task import make_claims_task
from almondspool.coordination.configuration_task import start_configuration_task
from almondspool.coordination.front import Front, FrontServices
from almondspool.coordination.gatherer_task import make_gatherer_task
from almondspool.coordination.instance_operator import (
    InstanceOperator,
    OperatorServices,
)
from almondspool.coordination.leg_router import LegRouter, LegTransport
from almondspool.coordination.load_poll_task import LoadPollTask
from almondspool.coordination.peer_dispatch import PeerDispatch
from almondspool.coordination.platform_calls import make_platform_calls
from almondspool.coordination.request_run import RunServices
from almondspool.coordination.search_context import make_context
from almondspool.protocol.caller_routes import CallerRoutes, HealthRoutes
from almondspool.protocol.document import MAX_SECTION_BYTES
from almondspool.protocol.http_upstream import make_upstream
from almondspool.protocol.operator import OperatorRoutes
from almondspool.protocol.peer import (
    CancelLegs,
    FetchObjects,
    LegBatch,
    LegResults,
    ObjectsReply,
    PeerCodec,
    Suspicion,
)
from almondspool.protocol.platform import make_platform
from almondspool.transport.http_server import HttpServer
from almondspool.transport.metrics import Metrics
from almondspool.transport.peer_channel import PeerChannels
from almondspool.transport.timers import EventletTimers

if TYPE_CHECKING:
    from typing import Any

    from almondspool.logs import EventLog


class Application:
    """One instance: its tasks, its listeners and its planned stop."""

    def __init__(self, settings: Any, log: EventLog) -> None:
        """Build every part; nothing runs before start()."""
        self._settings = settings
        self._log = log
        self._rng = random.Random()
        self._timers = EventletTimers()
        self._metrics = Metrics()
        self._incarnation = int(self._timers.wall_time() * 1000)
        self._is_stopping = False
        self.stopped = False
        self._build_transport()
        self._build_request_path()
        self._build_http()

    def start(self) -> None:
        """Listen and start every task.

        Raises:
            OSError: If a listening address is in use.
        """
        self._channels.listen(self._settings.peer_address)
        self._configuration = start_configuration_task(
            self._settings.instance,
            self._platform,
            self._send_peer,
            self._timers,
            self._log,
            self._rng,
            self._on_document,
            self._settings.watchers,
            self._settings.platform_poll_s,
        )
        eventlet.spawn(self._dispatch.run)
        self._http.listen(self._settings.caller_address)
        self._load_polls.start(self._settings.upstream_poll_s)
        self._log.write(
            "instance.started",
            instance=self._settings.instance,
            zone=self._settings.zone,
            incarnation=self._incarnation,
        )

    def begin_stop(self) -> None:
        """Begin a planned stop."""
        self._is_stopping = True
        eventlet.spawn(self._drain)

    def abort_stop(self) -> None:
        """Stop at once; the requests cut off are named in the log."""
        cut = self._front.in_flight_ids()
        self._log.write("instance.cut", requests=len(cut), ids=cut)

    def _drain(self) -> None:
        while self._front.in_flight():
            eventlet.sleep(0.05)
        self.stopped = True

    def _build_transport(self) -> None:
        settings = self._settings
        codec = PeerCodec(settings.peer_key)
        self._channels = PeerChannels(
            settings.instance, codec, self._log, self._count_refusal
        )
        self._channels.set_incarnation(self._incarnation)
        self._dispatch = PeerDispatch(self._channels, self._log)
        client = make_platform(settings.platform_address, settings.platform_timeout_s)
        self._platform = make_platform_calls(
            client,
            self._timers,
            self._log,
            settings.platform_calls_per_s,
            self._rng,
        )
        self._upstream, self._overdue_sweep = make_upstream(self._timers)

    def _build_request_path(self) -> None:
        settings = self._settings
        self._gatherer = make_gatherer_task(
            self._upstream, self._timers, self._log, settings.log_decisions
        )
        transport = LegTransport(
            self._gatherer.submit, self._gatherer.cancel, self._send_peer
        )
        self._router = LegRouter(
            settings.instance, transport, self._holders_of, self._view, self._log
        )
        self._make_incarnation_parts()
        run = RunServices(
            self._timers,
            self._router,
            self._log,
            self._metrics,
            self._share_suspicion,
            settings.log_decisions,
        )
        self._admission = make_admission_task(
            self._timers,
            self._log,
            settings.concurrent_requests,
            settings.queue_limit,
            self._rng.getrandbits(32),
        )
        self._front = Front(
            settings.instance,
            FrontServices(
                run,
                lambda: self._context,
                self._admission,
                lambda: self._claims,
                lambda: self._configuration.document,
                self._entries,
                lambda: True,
                lambda: self._is_stopping,
            ),
        )
        self._load_polls = LoadPollTask(
            self._upstream,
            self._timers,
            self._held_upstreams,
            lambda: self._context.chooser,
        )
        self._register_peer_messages()

    def _make_incarnation_parts(self) -> None:
        settings = self._settings
        self._context = make_context(
            settings.instance,
            self._incarnation,
            settings.zone,
            settings.hedge_share,
            settings.quarantine_s,
            self._rng,
        )
        self._claims = make_claims_task(
            self._platform,
            self._timers,
            self._log,
            settings.instance,
            self._incarnation,
            settings.claim_retention_s,
            lambda instance, incarnation: True,
            self._rng,
        )

    def _register_peer_messages(self) -> None:
        register = self._dispatch.register
        register(LegBatch, lambda item: self._gatherer.submit(item.message, item.reply))
        register(LegResults, lambda item: self._router.on_results(item.message))
        register(CancelLegs, lambda item: self._gatherer.cancel(item.message.leg_ids))
        register(
            FetchObjects,
            lambda item: self._configuration.post_fetch(item.sender, item.message),
        )
        register(
            ObjectsReply,
            lambda item: self._configuration.post_objects(item.sender, item.message),
        )
        register(Suspicion, lambda item: self._merge_suspicion(item.message))
        self._dispatch.register_down(self._router.on_channel_down)

    def _build_http(self) -> None:
        self._http = HttpServer(MAX_SECTION_BYTES)
        CallerRoutes(self._front).add_to(self._http)
        services = OperatorServices(
            self._timers,
            lambda: self._configuration,
            self._view,
            lambda: self._context.chooser,
            list,
            lambda: self._platform.calls_by_method,
            self._is_ready,
            lambda: self._is_stopping,
        )
        operator = InstanceOperator(
            self._settings.instance, self._settings.zone, services
        )
        OperatorRoutes(operator).add_to(self._http)
        HealthRoutes(self._metrics.registry, self._is_ready).add_to(self._http)

    def _is_ready(self) -> bool:
        return True

    def _view(self):
        from almondspool.state.members import Member, View

        settings = self._settings
        own = Member(
            settings.instance,
            self._incarnation,
            settings.zone,
            settings.caller_address,
            settings.peer_address,
            generation=self._configuration.document.generation,
        )
        return View({settings.instance: own})

    def _holders_of(self, upstream) -> tuple[str, ...]:
        return (self._settings.instance,)

    def _held_upstreams(self):
        return {
            upstream_id: upstream
            for section in self._configuration.document.sections_by_team.values()
            for upstream_id, upstream in section.upstreams_by_id.items()
        }

    def _entries(self, zone):
        from almondspool.protocol.caller import Entry, EntryList

        settings = self._settings
        entry = Entry(settings.instance, settings.caller_address, settings.zone)
        return EntryList((entry,), int(settings.entry_ttl_s * 1000))

    def _on_document(self, document) -> None:
        self._metrics.generation.set(document.generation)
        self._gatherer.set_document(document)
        grants = {
            key: max(1, upstream.max_connections // 9)
            for key, upstream in self._held_upstreams().items()
        }
        self._gatherer.set_grants(grants)

    def _send_peer(self, instance, message) -> bool:
        member = self._view().members_by_instance.get(instance)
        if member is None:
            return False
        return self._channels.send(instance, member.peer_address, message)

    def _share_suspicion(self, suspicion: Suspicion) -> None:
        for member in self._view().serving():
            if member.instance != self._settings.instance:
                self._send_peer(member.instance, suspicion)

    def _merge_suspicion(self, suspicion: Suspicion) -> None:
        now_ms = int(self._timers.wall_time() * 1000)
        self._context.quarantine.merge(now_ms, suspicion)

    def _count_refusal(self, code) -> None:
        self._metrics.peer_refusals.labels(code.name).inc()


def make_application(settings: Any, log: EventLog) -> Application:
    """Return the application of one instance, not started."""
    return Application(settings, log)
