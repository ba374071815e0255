"""Claims task: forwards claim operations to bucket holders or writes them itself.

Each bucket with queued operations has one green thread that writes them in batches.
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
    ForwardedOp,
    RemoteOps,
    is_undecided,
    make_not_holder_reply,
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

# Default maximum wait for the decision on a claim.
CLAIM_TIMEOUT_S = 2.0
# Delay before the first platform call for a bucket, so that operations that arrive
# together share it.
BATCH_DELAY_S = 0.002
# Bounds of the backoff after failed platform calls.
MIN_BACKOFF_S = 0.020
MAX_BACKOFF_S = 5.0


class ClaimPeers(NamedTuple):
    """Access to the holders of buckets.

    Attributes:
        send: Queues a message to an instance; False if it cannot be sent.
        holder_of: Returns the instance that holds a bucket, or an empty string if none
            does.
    """

    send: Callable[[str, NamedTuple], bool]
    holder_of: Callable[[str], str]


NO_PEERS = ClaimPeers(lambda instance, message: False, lambda bucket: "")


class ClaimsTask:
    """Claims non-idempotent requests and records their outcomes.

    An operation is forwarded to the holder of its bucket, and written locally if the
    holder does not decide on it in time. Operations on one bucket that arrive during a
    write share the next write. The content of a bucket is kept only while operations
    on it are queued.
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
        """Initialize the task; see ``make_claims_task``."""
        self._platform = platform
        self._timers = timers
        self._log = log
        self._rules = rules
        self._instance = instance
        self._incarnation = incarnation
        self._rng = rng
        self._latency_estimate = ClaimLatencyEstimate()
        self._send = peers.send
        self._forwarder = ClaimForwarder(instance, peers.holder_of)
        self._remote_ops = RemoteOps()
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
            timeout_s: Maximum wait for the decision, in seconds.

        Returns:
            The decision. If it ``is_claimed``, the caller must send the request
            before ``send_before`` or not at all, and must finally call ``close_claim``.
        """
        op = self._make_op(request)
        refusal = self._refuse_if_late(op, timeout_s)
        decision = refusal or self._wait_for_decision(op, timeout_s)
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
        """Close a claim of this instance in the background; retried until written.

        Args:
            request_id: Id of a claimed request.
            state: State in which to close it.
            answer: Answer to record, encoded, or empty.
        """
        op = self._own_op_by_request.pop(request_id, None)
        if op is None:
            return
        closing_op = op._replace(state=state, answer=answer)
        self._submit(closing_op, FORWARD_TIMEOUT_S)
        self._log.write("claim.closed", request=request_id, state=state.value)

    def is_idle(self) -> bool:
        """Return whether all claims and outcomes have been written.

        That is, no operation is queued here or awaits the reply of a holder.
        """
        return not self._bucket_by_name and self._forwarder.is_idle()

    def on_forwarded_operation(self, item: PeerMessage) -> None:
        """Handle an operation forwarded by another instance; reply to it later.

        The reply is sent once the operation is decided on, or at once if it is refused.
        """
        op = item.message.op
        name = bucket_name(op.request_id)
        reason = self._remote_refusal_reason(item.sender, op, name)
        if reason:
            self._log.write(
                "claim.ask_refused", peer=item.sender, bucket=name, reason=reason
            )
            item.reply(make_not_holder_reply(op, reason))
            return
        self._remote_ops.add(self._timers.now(), op, name, item.reply)
        refusal = self._bucket_of(op.request_id).add_remote(op)
        if refusal is not None:
            self._deliver((refusal,))

    def on_reply(self, sender: str, reply: ClaimReply) -> None:
        """Handle a holder's reply to an operation of this instance."""
        forwarded = self._forwarder.pop_replied(sender, reply)
        if forwarded is None:
            return
        if is_undecided(reply):
            self._write_locally(
                forwarded, reply.code.name.lower(), reply.may_take_effect
            )
            return
        decision = ClaimDecision(
            reply.token, reply.code, reply.is_claimed, reply.answer, detail=reply.detail
        )
        if reply.is_claimed:
            send_before = forwarded.forwarded_at + SEND_LEASE_S
            decision = decision._replace(send_before=send_before)
        self._deliver((decision,))

    def on_channel_down(self, instance: str) -> None:
        """Handle a closed channel to an instance, which can no longer reply.

        The operations forwarded to it are written locally.
        """
        for forwarded in self._forwarder.forwarded_to(instance):
            self._stop_waiting_for_holder(forwarded.op, "channel_down")

    def _remote_refusal_reason(self, sender: str, op: ClaimOp, name: str) -> str:
        """Return why an operation is refused, for the log and the owner, or empty."""
        if op.owner != sender or sender == self._instance:
            return "foreign_owner"
        if not self._forwarder.is_holder(name):
            return "not_holder"
        bucket = self._bucket_by_name.get(name)
        return "queue_full" if bucket is not None and bucket.is_full() else ""

    def _submit(self, op: ClaimOp, wait_s: float) -> None:
        """Forward an operation to the holder of its bucket, or write it locally."""
        now = self._timers.now()
        holder = self._forwarder.holder_to_forward_to(now, bucket_name(op.request_id))
        if not holder or not self._send(holder, ClaimAsk(op)):
            self._enqueue(op)
            return
        self._forwarder.add(now, op, holder)
        self._timers.call_later(
            wait_s, lambda: self._stop_waiting_for_holder(op, "silent")
        )

    def _enqueue(self, op: ClaimOp) -> None:
        refusal = self._bucket_of(op.request_id).add(op)
        if refusal is not None:
            self._deliver((refusal,))

    def _stop_waiting_for_holder(self, op: ClaimOp, reason: str) -> None:
        forwarded = self._forwarder.pop(op)
        if forwarded is None:
            return
        self._forwarder.avoid(self._timers.now(), forwarded.holder)
        self._write_locally(forwarded, reason, may_take_effect=True)

    def _write_locally(
        self, forwarded: ForwardedOp, reason: str, may_take_effect: bool
    ) -> None:
        op = forwarded.op
        self._log.write(
            "claim.written_here",
            request=op.request_id,
            state=op.state.value,
            holder=forwarded.holder,
            reason=reason,
        )
        bucket = self._bucket_of(op.request_id)
        refusal = bucket.add_returned(op, forwarded.forwarded_at, may_take_effect)
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

    def _refuse_if_late(self, op: ClaimOp, timeout_s: float) -> ClaimDecision | None:
        """Return a refusal if a claim is expected to take longer than its timeout."""
        expected_s = self._latency_estimate.expected_s(self._timers.now())
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
            eventlet.spawn_n(self._run_bucket, bucket)
        return bucket

    def _wait_for_decision(self, op: ClaimOp, timeout_s: float) -> ClaimDecision:
        waiter = self._waiter_by_token[op.token] = Event()
        timeout_handle = self._timers.call_later(timeout_s, lambda: self._time_out(op))
        self._submit(op, min(FORWARD_TIMEOUT_S, timeout_s * FORWARD_TIMEOUT_SHARE))
        decision = waiter.wait()
        timeout_handle.cancel()
        return decision

    def _time_out(self, op: ClaimOp) -> None:
        if op.token not in self._waiter_by_token:
            return
        self._stop_waiting_for_holder(op, "silent")
        self._bucket_of(op.request_id).abandon(op.token)
        refusal = ClaimDecision(
            op.token,
            ResultCode.NOT_RUN_PLATFORM_DOWN,
            detail="the platform did not confirm the claim in time",
            retry_after_s=self._latency_estimate.expected_s(self._timers.now()),
        )
        self._deliver((refusal,))

    def _deliver(self, decisions: tuple[ClaimDecision, ...]) -> None:
        for decision in decisions:
            if self._remote_ops.send_decision(decision):
                continue
            waiter = self._waiter_by_token.pop(decision.token, None)
            if waiter is not None:
                waiter.send(decision)

    def _run_bucket(self, bucket: ClaimBucket) -> None:
        try:
            self._process_ops(bucket)
        finally:
            del self._bucket_by_name[bucket.name]

    def _process_ops(self, bucket: ClaimBucket) -> None:
        failures = 0
        self._timers.sleep(BATCH_DELAY_S)
        while step := self._next_step(bucket):
            has_succeeded = self._execute(bucket, step)
            failures = 0 if has_succeeded else failures + 1
            if failures:
                self._timers.sleep(self._backoff_s(failures))

    def _next_step(self, bucket: ClaimBucket) -> ReadBucket | WriteBucket | None:
        now = self._timers.now()
        for remote in self._remote_ops.pop_expired(now):
            if remote.bucket in self._bucket_by_name:
                self._bucket_by_name[remote.bucket].remove_remote(remote.op.token)
        return bucket.next_step(now, self._timers.epoch_ms())

    def _execute(self, bucket: ClaimBucket, step: ReadBucket | WriteBucket) -> bool:
        """Make one platform call and deliver its decisions; return if it succeeded."""
        was_started = True
        self._latency_estimate.start(bucket.name, self._timers.now())
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
            self._latency_estimate.end(bucket.name, self._timers.now(), was_started)
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
        max_backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(failures, 16))
        return max_backoff_s * (0.5 + self._rng.random() / 2)


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
    """Return the claims task of an instance that has started or rejoined.

    Args:
        platform: Platform interface.
        timers: Timer service.
        log: Event log.
        instance: Name of the instance.
        incarnation: Incarnation of the instance; the requests of claims made by earlier
            incarnations are never sent.
        retention_s: Retention time of a claim, in seconds.
        is_owner_live: Returns whether an instance is alive at an incarnation, True for
            this instance.
        rng: Random number generator for the retry jitter.
        peers: Access to bucket holders; by default every bucket is written locally.
    """
    rules = ClaimRules(retention_s, is_owner_live)
    return ClaimsTask(platform, timers, log, rules, instance, incarnation, rng, peers)
