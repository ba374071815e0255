"""Construction of the components that a request passes through after arrival."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from almondspool.coordination.admission.admission_task import make_admission_task
from almondspool.coordination.admission.backlog_task import make_backlog_task
from almondspool.coordination.admission.request_metrics import register_request_metrics
from almondspool.coordination.shares.share_policy import make_share_settings
from almondspool.coordination.shares.shares_task import (
    SharesDependencies,
    make_shares_task,
)
from almondspool.coordination.upstreams.leg_dispatcher_task import (
    make_leg_dispatcher_task,
)
from almondspool.coordination.upstreams.leg_router import LegRouter, LegTransport

if TYPE_CHECKING:
    import random

    from prometheus_client import CollectorRegistry

    from almondspool.coordination.admission.admission_task import AdmissionTask
    from almondspool.coordination.admission.backlog_task import BacklogTask
    from almondspool.coordination.membership.membership_task import MembershipTask
    from almondspool.coordination.peers.peer_sender import PeerSender
    from almondspool.coordination.shares.shares_task import SharesTask
    from almondspool.coordination.upstreams.leg_dispatcher_task import (
        LegDispatcherTask,
        OnUpstreamReply,
    )
    from almondspool.logs import EventLog
    from almondspool.protocol.http_upstream import HttpUpstreamClient
    from almondspool.protocol.platform import PlatformInterface
    from almondspool.transport.timers import TimerService


class PipelineDependencies(NamedTuple):
    """Components of the instance that the request pipeline uses.

    Attributes:
        timers: Clock and timers.
        log: Event log.
        registry: Where metrics are registered.
        platform: Calls to the platform.
        membership: The membership task.
        peer_sender: Sends messages to peers.
        upstream: Calls to upstreams.
        on_reply: Called with the upstream of each reply and its load report, if any.
        rng: Source of random numbers.
    """

    timers: TimerService
    log: EventLog
    registry: CollectorRegistry
    platform: PlatformInterface
    membership: MembershipTask
    peer_sender: PeerSender
    upstream: HttpUpstreamClient
    on_reply: OnUpstreamReply
    rng: random.Random


class RequestPipeline(NamedTuple):
    """Components of one instance's request pipeline.

    Attributes:
        leg_dispatcher: Runs legs on upstreams to which this instance holds connections.
        shares: Shares of the connections to upstreams.
        router: Sends legs to their holders.
        admission: Admits requests by priority.
        backlog: Monitors the queues.
    """

    leg_dispatcher: LegDispatcherTask
    shares: SharesTask
    router: LegRouter
    admission: AdmissionTask
    backlog: BacklogTask


def make_request_pipeline(
    settings: Any, incarnation: int, dependencies: PipelineDependencies
) -> RequestPipeline:
    """Return the request pipeline of an instance, not started.

    Args:
        settings: The instance's settings.
        incarnation: The instance's incarnation.
        dependencies: Components of the instance.
    """
    timers, log = dependencies.timers, dependencies.log
    leg_dispatcher = make_leg_dispatcher_task(
        dependencies.upstream,
        timers,
        log,
        settings.log_decisions,
        dependencies.on_reply,
    )
    shares = _make_shares(settings, incarnation, dependencies, leg_dispatcher)
    admission = make_admission_task(
        timers,
        log,
        settings.concurrent_requests,
        settings.queue_limit,
        dependencies.rng.getrandbits(32),
    )
    backlog = make_backlog_task(
        leg_dispatcher.stats, timers, log, dependencies.registry
    )
    register_request_metrics(leg_dispatcher, admission, dependencies.registry)
    return RequestPipeline(
        leg_dispatcher,
        shares,
        _make_router(settings, dependencies, leg_dispatcher, shares),
        admission,
        backlog,
    )


def _make_shares(
    settings: Any,
    incarnation: int,
    dependencies: PipelineDependencies,
    leg_dispatcher: LegDispatcherTask,
) -> SharesTask:
    return make_shares_task(
        settings.instance,
        incarnation,
        make_share_settings(
            settings.holders_per_upstream, settings.heartbeat_interval_s
        ),
        SharesDependencies(
            membership=dependencies.membership,
            platform=dependencies.platform,
            timers=dependencies.timers,
            log=dependencies.log,
            set_grants=leg_dispatcher.set_grants,
            open_connections=dependencies.upstream.open_connections,
            send_peer=dependencies.peer_sender.send,
        ),
        dependencies.registry,
    )


def _make_router(
    settings: Any,
    dependencies: PipelineDependencies,
    leg_dispatcher: LegDispatcherTask,
    shares: SharesTask,
) -> LegRouter:
    return LegRouter(
        settings.instance,
        LegTransport(
            leg_dispatcher.submit, leg_dispatcher.cancel, dependencies.peer_sender.send
        ),
        lambda upstream: shares.holders(upstream.upstream_id),
        dependencies.membership.view,
        dependencies.log,
        settings.log_decisions,
    )
