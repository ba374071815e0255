"""Names the task that takes each type of peer message."""

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
    from almondspool.coordination.peers.peer_dispatch import PeerDispatch
    from almondspool.coordination.shares.shares_task import SharesTask
    from almondspool.coordination.upstreams.leg_dispatcher_task import LegDispatcherTask
    from almondspool.coordination.upstreams.leg_router import LegRouter
    from almondspool.transport.peer_channel import PeerMessage


class PeerMessageHandlers(NamedTuple):
    """The tasks that take peer messages.

    Attributes:
        leg_dispatcher: Runs legs.
        router: Takes results of legs.
        shares: Connection shares.
        configuration: Returns the configuration task.
        claims: Returns the claims of the present incarnation.
        fleet: The fleet's status.
        merge_suspicion: Takes a request that cut off upstreams elsewhere.
    """

    leg_dispatcher: LegDispatcherTask
    router: LegRouter
    shares: SharesTask
    configuration: Callable[[], ConfigurationTask]
    claims: Callable[[], ClaimsTask]
    fleet: FleetTask
    merge_suspicion: Callable[[Suspicion], None]


def register_peer_messages(dispatch: PeerDispatch, tasks: PeerMessageHandlers) -> None:
    """Send every type of peer message to its task."""
    register = dispatch.register
    register(
        LegBatch, lambda item: tasks.leg_dispatcher.submit(item.message, item.reply)
    )
    register(LegResults, lambda item: tasks.router.on_results(item.message))
    register(CancelLegs, lambda item: tasks.leg_dispatcher.cancel(item.message.leg_ids))
    register(FetchObjects, lambda item: _on_fetch(tasks, item))
    register(ObjectsReply, lambda item: _on_objects(tasks, item))
    register(
        CompareObjects,
        lambda item: tasks.shares.post_compare(item.sender, item.message),
    )
    register(Suspicion, lambda item: tasks.merge_suspicion(item.message))
    register(ClaimAsk, lambda item: tasks.claims().on_op(item))
    register(
        ClaimReply, lambda item: tasks.claims().on_reply(item.sender, item.message)
    )
    register(
        StatusReport,
        lambda item: tasks.fleet.on_report(item.sender, item.message.summary),
    )
    dispatch.register_down(tasks.router.on_channel_down)
    dispatch.register_down(lambda peer: tasks.claims().on_channel_down(peer))


def _on_fetch(tasks: PeerMessageHandlers, item: PeerMessage) -> None:
    tasks.configuration().post_fetch(item.sender, item.message)
    tasks.shares.post_fetch(item.sender, item.message)


def _on_objects(tasks: PeerMessageHandlers, item: PeerMessage) -> None:
    tasks.configuration().post_objects(item.sender, item.message)
    tasks.shares.post_objects(item.sender, item.message)
