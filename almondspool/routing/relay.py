"""Relay of requests that this instance cannot serve to an instance that can.

An instance that is isolated from the upstreams still has callers: they keep its address
for some seconds, and their requests are under way. Each request is relayed once: the
other instance runs it like one of its own callers, or refuses it, but never relays it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.membership.rendezvous import weight
from almondspool.protocol.exchange import Answer, ConnectionState, LegOutcome
from almondspool.routing.context import ANSWER_MARGIN_S, DEFAULT_NETWORK_DELAY_S
from almondspool.routing.legs import FIRST, OpenLeg
from almondspool.routing.outcome import Outcome, failure_answer, refusal_answer
from almondspool.routing.timed_request import TimedRequest
from almondspool.state.routes import Replica

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable, Sequence

    from almondspool.protocol.exchange import (
        CallerRequest,
        LegReply,
        LegRequest,
        LegSender,
    )
    from almondspool.routing.context import RoutingContext
    from almondspool.state.routes import Route

# Number of instances that one instance relays to: enough that the loss or overload of
# some does not matter, and few, as each needs connections of its own.
MAX_RELAY_PEERS = 8
# Concurrent requests that an instance relays to one other instance, each on a
# connection.
MAX_CONNECTIONS_PER_PEER = 32
# Instances of the own zone are preferred unless all of them are as busy as this.
MAX_LOCAL_UTILIZATION = 0.5
# An instance that is busier refuses relayed requests that are not of the most urgent
# routes: it has its own callers, too.
MAX_RELAYED_UTILIZATION = 0.75
# Instances tried, one after the other, while none has run the request.
MAX_RELAY_ATTEMPTS = 4
# How long an instance that was not reached, or is isolated too, is avoided, and the
# zone of one that is isolated: a partition often hits a whole zone, and the membership
# shows that after some heartbeats only.
AVOID_S = 3.0
_AVAILABLE_STATES = (ConnectionState.IDLE, ConnectionState.CONNECT)


class RelayPeer(NamedTuple):
    """An instance that can serve callers.

    Attributes:
        instance: Its name.
        zone: Its availability zone.
        address: ``ip:port`` for relayed requests.
        load: Its utilization, 0.0 to 1.0.
        version: Version of the configuration that it has in force.
    """

    instance: str
    zone: str
    address: str
    load: float
    version: int


class AvoidedPeers:
    """Instances and zones to which requests could not be relayed recently."""

    def __init__(self) -> None:
        """Start without any."""
        self._until_by_instance: dict[str, float] = {}
        self._until_by_zone: dict[str, float] = {}

    def record(self, now: float, instance: str, zone: str, is_isolated: bool) -> None:
        """Avoid an instance for AVOID_S, and its zone if the instance is isolated."""
        self._until_by_instance[instance] = now + AVOID_S
        if is_isolated:
            self._until_by_zone[zone] = now + AVOID_S

    def filter(self, now: float, peers: Sequence[RelayPeer]) -> list[RelayPeer]:
        """Return the peers that are not avoided, without their zones if possible."""
        usable = [
            peer
            for peer in peers
            if self._until_by_instance.get(peer.instance, 0) <= now
        ]
        elsewhere = [
            peer for peer in usable if self._until_by_zone.get(peer.zone, 0.0) <= now
        ]
        return elsewhere or usable


def rank_peers(
    peers: Iterable[RelayPeer], instance: str, zone: str, version: int
) -> list[RelayPeer]:
    """Return the instances to relay requests to, a fixed subset of a large fleet.

    Args:
        peers: Instances that can serve callers.
        instance: The name of this instance.
        zone: Its availability zone.
        version: Version of the configuration in force here. Instances with an older
            one are used only if there are no others.
    """
    peers = list(peers)
    peers = [peer for peer in peers if peer.version >= version] or peers
    local = [
        peer
        for peer in peers
        if peer.zone == zone and peer.load < MAX_LOCAL_UTILIZATION
    ]
    return sorted(
        local or peers,
        key=lambda peer: weight(instance, peer.instance),
        reverse=True,
    )[:MAX_RELAY_PEERS]


def is_relayed_accepted(utilization: float, is_most_urgent: bool) -> bool:
    """Return whether an instance accepts a request that another one relays to it."""
    return is_most_urgent or utilization <= MAX_RELAYED_UTILIZATION


class RequestRelay:
    """Relays requests while this instance is isolated from the upstreams.

    Attributes:
        is_isolated: Returns whether no upstream can be reached.
        sender: Sends requests to other instances.
    """

    def __init__(
        self,
        instance: str,
        zone: str,
        sender: LegSender,
        is_isolated: Callable[[], bool],
        peers: Callable[[], Sequence[RelayPeer]],
        rng: random.Random,
    ) -> None:
        """Relay to the instances that the membership shows as ready.

        Args:
            instance: The name of this instance.
            zone: Its availability zone.
            sender: Sends requests to other instances.
            is_isolated: Returns whether no upstream can be reached.
            peers: Returns the other instances that can serve callers.
            rng: Source of the choice among them.
        """
        self.sender = sender
        self._instance = instance
        self._zone = zone
        self.is_isolated = is_isolated
        self._peers = peers
        self._rng = rng
        self._avoided = AvoidedPeers()

    def is_needed(self) -> bool:
        """Return whether requests are to be relayed, and an instance can serve them."""
        return self.is_isolated() and bool(self._peers())

    def record_failure(self, now: float, target: Replica, is_isolated: bool) -> None:
        """Avoid an instance that was not reached, or that is isolated too."""
        self._avoided.record(now, target.replica_id, target.zone, is_isolated)

    def choose(
        self, now: float, version: int, tried: Collection[str]
    ) -> Replica | None:
        """Return an instance to relay to, as the sender addresses it, or None.

        Of two random ones the less busy is chosen.

        Args:
            now: Monotonic seconds.
            version: Version of the configuration in force here.
            tried: Names of the instances that could not be connected to.
        """
        untried = [peer for peer in self._peers() if peer.instance not in tried]
        usable = self._avoided.filter(now, untried) or untried
        ranked = rank_peers(usable, self._instance, self._zone, version)
        available = [
            peer
            for peer in ranked
            if self.sender.connection_state(_to_target(peer)) in _AVAILABLE_STATES
        ]
        sample = self._rng.sample(available, min(2, len(available)))
        peer = min(sample, key=lambda peer: peer.load, default=None)
        return None if peer is None else _to_target(peer)


class RelayedRequest(TimedRequest):
    """A request that another instance runs; its answer is passed on unchanged."""

    def __init__(
        self,
        context: RoutingContext,
        relay: RequestRelay,
        version: int,
        route: Route,
        request: CallerRequest,
        leg_request: LegRequest,
        on_end: Callable[[Outcome], None],
    ) -> None:
        """Prepare a request; start() relays it.

        Args:
            context: Dependencies shared by all requests.
            relay: Chooses instances and sends to them.
            version: Version of the configuration that the route belongs to.
            route: The route of the request.
            request: The caller's request.
            leg_request: The request as it is relayed.
            on_end: Called once with the outcome.
        """
        super().__init__(context, route, request, leg_request, on_end)
        self._relay = relay
        self._version = version
        self._leg: OpenLeg | None = None
        self._tried: set[str] = set()

    def start(self) -> None:
        """Relay the request, or refuse it at once."""
        now = self._context.timers.now()
        if now >= self._deadline_at:
            self._refuse("deadline_expired")
            return
        self._call_later(self._deadline_at - now, self._on_deadline)
        self._send(now, "no_instance")

    def _send(self, now: float, refusal_reason: str) -> None:
        target = None
        if len(self._tried) < MAX_RELAY_ATTEMPTS:
            target = self._relay.choose(now, self._version, self._tried)
        if target is None:
            self._refuse(refusal_reason)
            return
        self._tried.add(target.replica_id)
        leg = self._leg = OpenLeg(target, now, FIRST)
        # The other instance has to answer before the deadline here.
        remaining_s = self._deadline_at - now - DEFAULT_NETWORK_DELAY_S
        leg.handle = self._relay.sender.send(
            target,
            self._leg_request,
            max(ANSWER_MARGIN_S, remaining_s),
            lambda reply: self._on_reply(leg, reply),
        )

    def _list_open_legs(self) -> list[OpenLeg]:
        return [] if self._leg is None else [self._leg]

    def _on_reply(self, leg: OpenLeg, reply: LegReply) -> None:
        self._leg = None
        if self._is_finished:
            return
        now = self._context.timers.now()
        self._context.log.write(
            "request.relayed",
            request=self._request.request_id,
            instance=leg.replica.replica_id,
            outcome=reply.outcome.value,
            status=reply.status,
            detail=reply.detail,
            age_ms=(now - leg.sent_at) * 1000.0,
        )
        if reply.outcome in (LegOutcome.NOT_SENT, LegOutcome.MISDIRECTED):
            # The other instance was not reached, or is isolated too.
            is_isolated = reply.outcome is LegOutcome.MISDIRECTED
            self._relay.record_failure(now, leg.replica, is_isolated)
            self._send(now, "not_relayed")
        elif reply.status:
            self._forward_reply(leg, reply)
        else:
            # The other instance may have run it.
            answer = failure_answer(ResultCode.FAILED)
            self._end(Outcome(answer, ResultCode.FAILED, "relay_broken", 0, 1))

    def _forward_reply(self, leg: OpenLeg, reply: LegReply) -> None:
        headers = self._context.codec.forwarded_headers(reply)
        is_ok = 200 <= reply.status < 300
        code = ResultCode.OK if is_ok else ResultCode.RELAY_FAILED
        self._end(
            Outcome(
                Answer(reply.status, headers, reply.body),
                code,
                "relayed",
                int(is_ok),
                1,
                upstream=leg.replica.replica_id,
            )
        )

    def _on_deadline(self) -> None:
        if self._is_finished:
            return
        self._cancel_legs()
        answer = failure_answer(ResultCode.LEG_TIMEOUT)
        self._end(Outcome(answer, ResultCode.LEG_TIMEOUT, "deadline", 0, 1))

    def _refuse(self, reason: str) -> None:
        context = self._context
        answer = refusal_answer(context.codec, context.retry_after_s())
        self._end(Outcome(answer, ResultCode.NOT_RUN_NO_UPSTREAM, reason, 0, 1))


def _to_target(peer: RelayPeer) -> Replica:
    """Return an instance as the target of a send."""
    return Replica(peer.instance, "", peer.address, peer.zone, MAX_CONNECTIONS_PER_PEER)
