"""Carries claims to the holders of their buckets, or to the platform itself.

Each busy bucket has one green thread that writes the asks of all instances together.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

import eventlet
from eventlet.event import Event
from returns.pipeline import is_successful

from almondspool.codes import ResultCode
from almondspool.coordination.claims.claim_bucket import ClaimBucket, ReadBucket
from almondspool.coordination.claims.claim_forwarding import (
    FORWARD_TIMEOUT_S,
    FORWARD_TIMEOUT_SHARE,
    ClaimForwarder,
    RemoteAsks,
    RoutedAsk,
    is_undecided,
    not_holder_reply,
)
from almondspool.coordination.claims.claim_latency import ClaimLatencyEstimate
from almondspool.coordination.claims.claims import (
    CLAIM_KIND,
    SEND_LEASE_S,
    ClaimDecision,
    ClaimRules,
    bucket_name,
    claim_fingerprint,
)
from almondspool.errors import CallNotStartedError, PlatformError
from almondspool.protocol.claims import ClaimOp, ClaimState
from almondspool.protocol.peer import ClaimAsk

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from almondspool.coordination.claims.claim_bucket import WriteBucket
    from almondspool.logs import EventLog
    from almondspool.protocol.caller import SearchRequest
    from almondspool.protocol.peer import ClaimReply
    from almondspool.protocol.platform import PlatformInterface
    from almondspool.transport.peer_channel import PeerMessage
    from almondspool.transport.timers import TimerService

CLAIM_TIMEOUT_S = 2.0
BATCH_DELAY_S = 0.002
FIRST_BACKOFF_S = 0.020
MAX_BACKOFF_S = 5.0


class ClaimPeers(NamedTuple):
    """How an instance reaches the holders of buckets.

    Attributes:
        send: Queues a message to an instance; False if it cannot be sent.
        holder_of: Returns the instance that holds a bucket, empty for none.
    """

    send: Callable[[str, NamedTuple], bool]
    holder_of: Callable[[str], str]


NO_PEERS = ClaimPeers(lambda instance, message: False, lambda bucket: "")


class ClaimsTask:
    """Claims non-idempotent requests and records their outcomes.

    An ask goes to the holder of its bucket, and is written here if the holder does
    not decide it in time. Asks of one bucket that arrive while a write is under way
    share the next write. A bucket's content is kept only while asks of it are queued.
    """

    def __init__(
        self,
        platform: PlatformInterface,
        timers: TimerService,
        log: EventLog,
        rules: ClaimRules,
        instance: str,
        incarnation: int,
        rng: random.Random,
        peers: ClaimPeers,
    ) -> None:
        """Use make_claims_task."""
        self._platform = platform
        self._timers = timers
        self._log = log
        self._rules = rules
        self._instance = instance
        self._incarnation = incarnation
        self._rng = rng
        self._pace = ClaimLatencyEstimate()
        self._send = peers.send
        self._routes = ClaimForwarder(instance, peers.holder_of)
        self._remote_asks = RemoteAsks()
        self._token_numbers = itertools.count(1)
        self._bucket_by_name: dict[str, ClaimBucket] = {}
        self._waiter_by_token: dict[str, Event] = {}
        self._own_op_by_request: dict[str, ClaimOp] = {}

    def claim(
        self, request: SearchRequest, timeout_s: float = CLAIM_TIMEOUT_S
    ) -> ClaimDecision:
        """Claim a request, blocking the calling green thread.

        Args:
            request: A non-idempotent request.
            timeout_s: How long to wait for the platform, in seconds.

        Returns:
            The decision. If it ``is_claimed``, the caller must send the request
            before ``send_before`` or not at all, and must finally call ``close_claim``.
        """
        op = self._make_op(request)
        refusal = self._refuse_late(op, timeout_s)
        decision = refusal or self._await(op, timeout_s)
        if decision.is_claimed:
            self._own_op_by_request[op.request_id] = op
        self._log.write(
            "claim.decided",
            request=op.request_id,
            bucket=bucket_name(op.request_id),
            code=decision.code.name,
            claimed=decision.is_claimed,
            recorded_bytes=len(decision.answer),
            retry_after_ms=round(decision.retry_after_s * 1000),
            reason=decision.detail or "claim_written",
        )
        return decision

    def close_claim(
        self, request_id: str, state: ClaimState, answer: bytes = b""
    ) -> None:
        """Close an own claim; written in the background until it has succeeded."""
        op = self._own_op_by_request.pop(request_id, None)
        if op is None:
            return
        closing = op._replace(state=state, answer=answer)
        self._place(closing, FORWARD_TIMEOUT_S)
        self._log.write("claim.closed", request=request_id, state=state.value)

    def is_idle(self) -> bool:
        """Return whether every claim and outcome has been written."""
        return not self._bucket_by_name and self._routes.is_idle()

    def on_ask(self, item: PeerMessage) -> None:
        """Take another instance's ask; it is answered once it is decided."""
        op = item.message.op
        name = bucket_name(op.request_id)
        refusal = self._refuse_remote(item.sender, op, name)
        if refusal:
            self._log.write(
                "claim.ask_refused", peer=item.sender, bucket=name, reason=refusal
            )
            item.reply(not_holder_reply(op, refusal))
            return
        self._remote_asks.add(self._timers.now(), op, name, item.reply)
        refused = self._bucket_of(op.request_id).add_remote(op)
        if refused is not None:
            self._deliver((refused,))

    def on_reply(self, sender: str, reply: ClaimReply) -> None:
        """Take a holder's reply to an own ask."""
        routed = self._routes.take_replied(sender, reply)
        if routed is None:
            return
        if is_undecided(reply):
            self._write_here(routed, reply.code.name.lower(), reply.may_take_effect)
            return
        decision = ClaimDecision(
            reply.token, reply.code, reply.is_claimed, reply.answer, detail=reply.detail
        )
        if reply.is_claimed:
            send_before = routed.asked_at + SEND_LEASE_S
            decision = decision._replace(send_before=send_before)
        self._deliver((decision,))

    def on_channel_down(self, instance: str) -> None:
        """Write what a holder was asked that can no longer answer."""
        for routed in self._routes.waiting_for(instance):
            self._give_up_holder(routed.op, "channel_down")

    def _refuse_remote(self, sender: str, op: ClaimOp, name: str) -> str:
        if op.owner != sender or sender == self._instance:
            return "foreign_owner"
        if not self._routes.is_holder(name):
            return "not_holder"
        bucket = self._bucket_by_name.get(name)
        return "queue_full" if bucket is not None and bucket.is_full() else ""

    def _place(self, op: ClaimOp, wait_s: float) -> None:
        """Ask the bucket's holder, or write here if this instance is it."""
        now = self._timers.now()
        holder = self._routes.holder_to_ask(now, bucket_name(op.request_id))
        if not holder or not self._send(holder, ClaimAsk(op)):
            self._queue(op)
            return
        self._routes.add(now, op, holder)
        self._timers.call_later(wait_s, lambda: self._give_up_holder(op, "silent"))

    def _queue(self, op: ClaimOp) -> None:
        refusal = self._bucket_of(op.request_id).add(op)
        if refusal is not None:
            self._deliver((refusal,))

    def _give_up_holder(self, op: ClaimOp, reason: str) -> None:
        routed = self._routes.take(op)
        if routed is None:
            return
        self._routes.avoid(self._timers.now(), routed.holder)
        self._write_here(routed, reason, may_take_effect=True)

    def _write_here(
        self, routed: RoutedAsk, reason: str, may_take_effect: bool
    ) -> None:
        op = routed.op
        self._log.write(
            "claim.written_here",
            request=op.request_id,
            state=op.state.value,
            holder=routed.holder,
            reason=reason,
        )
        bucket = self._bucket_of(op.request_id)
        refusal = bucket.add_rerouted(op, routed.asked_at, may_take_effect)
        if refusal is not None:
            self._deliver((refusal,))

    def _make_op(self, request: SearchRequest) -> ClaimOp:
        number = next(self._token_numbers)
        return ClaimOp(
            f"{self._instance}.{self._incarnation}.{number}",
            request.request_id,
            claim_fingerprint(request),
            request.issued_at_ms,
            self._instance,
            self._incarnation,
        )

    def _refuse_late(self, op: ClaimOp, timeout_s: float) -> ClaimDecision | None:
        expected_s = self._pace.expected_s(self._timers.now())
        if expected_s <= timeout_s:
            return None
        detail = f"a claim takes {expected_s:.1f} s, there are {timeout_s:.1f} s for it"
        code = ResultCode.NOT_RUN_PLATFORM_DOWN
        return ClaimDecision(op.token, code, detail=detail, retry_after_s=expected_s)

    def _bucket_of(self, request_id: str) -> ClaimBucket:
        name = bucket_name(request_id)
        bucket = self._bucket_by_name.get(name)
        if bucket is None:
            bucket = self._bucket_by_name[name] = ClaimBucket(name, self._rules)
            eventlet.spawn_n(self._serve, bucket)
        return bucket

    def _await(self, op: ClaimOp, timeout_s: float) -> ClaimDecision:
        waiter = self._waiter_by_token[op.token] = Event()
        handle = self._timers.call_later(timeout_s, lambda: self._time_out(op))
        self._place(op, min(FORWARD_TIMEOUT_S, timeout_s * FORWARD_TIMEOUT_SHARE))
        decision = waiter.wait()
        handle.cancel()
        return decision

    def _time_out(self, op: ClaimOp) -> None:
        if op.token not in self._waiter_by_token:
            return
        self._give_up_holder(op, "silent")
        self._bucket_of(op.request_id).abandon(op.token)
        refusal = ClaimDecision(
            op.token,
            ResultCode.NOT_RUN_PLATFORM_DOWN,
            detail="the platform did not confirm the claim in time",
            retry_after_s=self._pace.expected_s(self._timers.now()),
        )
        self._deliver((refusal,))

    def _deliver(self, decisions: tuple[ClaimDecision, ...]) -> None:
        for decision in decisions:
            if self._remote_asks.answer(decision):
                continue
            waiter = self._waiter_by_token.pop(decision.token, None)
            if waiter is not None:
                waiter.send(decision)

    def _serve(self, bucket: ClaimBucket) -> None:
        try:
            self._work_off(bucket)
        finally:
            del self._bucket_by_name[bucket.name]

    def _work_off(self, bucket: ClaimBucket) -> None:
        failures = 0
        self._timers.sleep(BATCH_DELAY_S)
        while step := self._next_step(bucket):
            is_done = self._carry_out(bucket, step)
            failures = 0 if is_done else failures + 1
            if failures:
                self._timers.sleep(self._backoff_s(failures))

    def _next_step(self, bucket: ClaimBucket) -> ReadBucket | WriteBucket | None:
        now = self._timers.now()
        for remote in self._remote_asks.pop_expired(now):
            if remote.bucket in self._bucket_by_name:
                self._bucket_by_name[remote.bucket].withdraw(remote.op.token)
        return bucket.next_step(now, self._timers.epoch_ms())

    def _carry_out(self, bucket: ClaimBucket, step: ReadBucket | WriteBucket) -> bool:
        """Make one call and deliver what it decides; return whether it succeeded."""
        was_started = True
        self._pace.start(bucket.name, self._timers.now())
        try:
            if isinstance(step, ReadBucket):
                decisions = self._read(bucket)
            else:
                decisions = self._write(bucket, step)
        except PlatformError as error:
            was_started = not isinstance(error, CallNotStartedError)
            self._log.write(
                "claim.call_failed",
                bucket=bucket.name,
                call=type(step).__name__,
                code=error.code.name,
                reason=str(error),
            )
            self._deliver(bucket.on_failed(error))
            return False
        finally:
            self._pace.end(bucket.name, self._timers.now(), was_started)
        self._deliver(decisions)
        return True

    def _read(self, bucket: ClaimBucket) -> tuple[ClaimDecision, ...]:
        result = self._platform.get(CLAIM_KIND, bucket.name)
        if is_successful(result):
            return bucket.on_read(self._timers.epoch_ms(), result.unwrap())
        if result.failure().code == ResultCode.PLATFORM_NOT_FOUND:
            return bucket.on_read(self._timers.epoch_ms(), None)
        raise result.failure()

    def _write(
        self, bucket: ClaimBucket, step: WriteBucket
    ) -> tuple[ClaimDecision, ...]:
        result = self._platform.put(
            CLAIM_KIND, step.name, step.value, step.expected_version
        )
        if not is_successful(result):
            raise result.failure()
        return bucket.on_written(result.unwrap().version)

    def _backoff_s(self, failures: int) -> float:
        longest = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failures, 16))
        return longest * (0.5 + self._rng.random() / 2)


def make_claims_task(
    platform: PlatformInterface,
    timers: TimerService,
    log: EventLog,
    instance: str,
    incarnation: int,
    retention_s: float,
    is_owner_live: Callable[[str, int], bool],
    rng: random.Random,
    peers: ClaimPeers = NO_PEERS,
) -> ClaimsTask:
    """Return a claims task of an instance that has started or re-joined.

    Args:
        platform: Calls to the platform.
        timers: Source of time.
        log: Event log.
        instance: The instance's name.
        incarnation: Its incarnation; claims of an earlier one are never sent.
        retention_s: How long a claim is kept, in seconds.
        is_owner_live: Whether an instance is alive at an incarnation; True for self.
        rng: Spreads retries.
        peers: Reaches the holders of buckets; by default every bucket is written here.
    """
    rules = ClaimRules(retention_s, is_owner_live)
    return ClaimsTask(platform, timers, log, rules, instance, incarnation, rng, peers)
