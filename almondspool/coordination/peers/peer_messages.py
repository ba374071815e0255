"""Registration of the handler of each peer message type."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.protocol.peer import (
    CancelLegs,
    ClaimAsk,
    ClaimReply,
    CompareObjects,
    FetchObjects,
    LegBatch,
    LegResults,
    ObjectsReply,
    StatusReport,
    Suspicion,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.coordination.claims.claims_task import ClaimsTask
    from almondspool.coordination.configuration.configuration_task import (
        ConfigurationTask,
    )
    from almondspool.coordination.fleet.fleet_task import FleetTask
    from almondspool.coordination.peers.peer_dispatch import PeerDispatcher
    from almondspool.coordination.peers.suspicion_reports import SuspicionReports
    from almondspool.coordination.shares.shares_task import SharesTask
    from almondspool.coordination.upstreams.leg_dispatcher_task import LegDispatcherTask
    from almondspool.coordination.upstreams.leg_router import LegRouter
    from almondspool.transport.peer_channel import PeerMessage


class PeerMessageHandlers(NamedTuple):
    """Tasks that handle peer messages.

    Attributes:
        leg_dispatcher: Runs legs.
        router: Receives the results of legs.
        shares: Exchanges connection shares.
        configuration: Returns the configuration task.
        claims: Returns the claims task of the current incarnation.
        fleet: Receives status reports of other instances.
        suspicion_reports: Receives suspicions about requests that crash upstreams.
    """

    leg_dispatcher: LegDispatcherTask
    router: LegRouter
    shares: SharesTask
    configuration: Callable[[], ConfigurationTask]
    claims: Callable[[], ClaimsTask]
    fleet: FleetTask
    suspicion_reports: SuspicionReports


def register_peer_messages(
    dispatch: PeerDispatcher, handlers: PeerMessageHandlers
) -> None:
    """Register the handler of every peer message type."""
    register = dispatch.register
    register(
        LegBatch, lambda item: handlers.leg_dispatcher.submit(item.message, item.reply)
    )
    register(LegResults, lambda item: handlers.router.on_results(item.message))
    register(
        CancelLegs, lambda item: handlers.leg_dispatcher.cancel(item.message.leg_ids)
    )
    register(FetchObjects, lambda item: _on_fetch(handlers, item))
    register(ObjectsReply, lambda item: _on_objects(handlers, item))
    register(
        CompareObjects,
        lambda item: handlers.shares.post_compare(item.sender, item.message),
    )
    register(Suspicion, handlers.suspicion_reports.on_suspicion)
    register(ClaimAsk, lambda item: handlers.claims().on_forwarded_operation(item))
    register(
        ClaimReply, lambda item: handlers.claims().on_reply(item.sender, item.message)
    )
    register(
        StatusReport,
        lambda item: handlers.fleet.on_report(item.sender, item.message.summary),
    )
    dispatch.register_channel_down(handlers.router.on_channel_down)
    dispatch.register_channel_down(lambda peer: handlers.claims().on_channel_down(peer))


def _on_fetch(handlers: PeerMessageHandlers, item: PeerMessage) -> None:
    handlers.configuration().post_fetch(item.sender, item.message)
    handlers.shares.post_fetch(item.sender, item.message)


def _on_objects(handlers: PeerMessageHandlers, item: PeerMessage) -> None:
    handlers.configuration().post_objects(item.sender, item.message)
    handlers.shares.post_objects(item.sender, item.message)
