"""Detection of silent connections, distinguished from a slow upstream.

A serial numbers the connections to an upstream in the order in which they were opened.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from almondspool.transport.http_pool import SilenceDetector

# A timeout after a shorter wait is no evidence that a connection is silent.
MIN_SILENCE_S = 0.1
# Time after which a suspicion ends if no newer connection has answered or timed out.
SUSPICION_LIFETIME_S = 5.0
# Minimum time between suspicions for one upstream, so that a slow upstream doesn't get
# many new connections.
MIN_SUSPICION_INTERVAL_S = 10.0
# Older answers and timeouts are removed once more than this many connections have one.
HISTORY_LIFETIME_S = 60.0
HISTORY_PRUNING_SIZE = 64


class _SuspectedConnections(NamedTuple):
    """Connections of one upstream that may be silent.

    Attributes:
        serial: The newest of them; all older ones are suspected too. 0 for none.
        since: When the suspicion began, in monotonic seconds.
    """

    serial: int
    since: float


_NONE_SUSPECTED = _SuspectedConnections(0, -math.inf)


class _ConnectionHistory:
    """Last answers and timeouts of one upstream's connections.

    Attributes:
        answered_at: Last answer by serial, in monotonic seconds.
        timed_out_at: Last timeout by serial, in monotonic seconds.
        suspicion: The connections suspected now.
        suspected_at: When the last suspicion began, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.answered_at: dict[int, float] = {}
        self.timed_out_at: dict[int, float] = {}
        self.suspicion = _NONE_SUSPECTED
        self.suspected_at = -math.inf

    def has_newer_answer(self, serial: int, since: float) -> bool:
        return any(
            other > serial and at >= since for other, at in self.answered_at.items()
        )

    def has_answer_up_to(self, serial: int, since: float) -> bool:
        return any(
            other <= serial and at >= since for other, at in self.answered_at.items()
        )

    def has_newer_timeout(self, serial: int, since: float) -> bool:
        return any(
            other > serial and at >= since for other, at in self.timed_out_at.items()
        )

    def prune(self, now: float) -> None:
        for times in (self.answered_at, self.timed_out_at):
            if len(times) > HISTORY_PRUNING_SIZE:
                old = [
                    serial
                    for serial, at in times.items()
                    if now - at > HISTORY_LIFETIME_S
                ]
                for serial in old:
                    del times[serial]


class SilentConnectionDetector(SilenceDetector):
    """Detects silent connections by comparison with newer ones to the same upstream.

    A connection is silent if its exchange got no byte while a newer connection
    answered, no newer one timed out and no older one answered: an overloaded upstream
    fails on all of them alike. Without a newer connection to compare with, the old
    ones are suspected and the next exchange opens a new one. If that one answers, the
    suspected connections are silent.
    """

    def __init__(self) -> None:
        """Initialize without history."""
        self._histories_by_id: dict[str, _ConnectionHistory] = {}

    def on_answer(self, now: float, upstream_id: str, serial: int) -> int:
        """Handle the first byte of a reply; return the newest serial to retire."""
        history = self._histories_by_id.get(upstream_id)
        if history is None:
            history = self._histories_by_id[upstream_id] = _ConnectionHistory()
        history.answered_at[serial] = now
        if not history.suspicion.serial:
            return 0
        return self._resolve(now, history, serial)

    def on_timeout(
        self, now: float, upstream_id: str, serial: int, sent_at: float
    ) -> int:
        """Handle a timeout without a byte of reply; return a serial to retire or 0.

        All connections up to the serial are to be retired.
        """
        history = self._histories_by_id.setdefault(upstream_id, _ConnectionHistory())
        history.prune(now)
        history.timed_out_at[serial] = now
        if serial > history.suspicion.serial and sent_at >= history.suspicion.since:
            # The new connection got no answer either, so the upstream is slow.
            history.suspicion = _NONE_SUSPECTED
        if now - sent_at < MIN_SILENCE_S or history.has_answer_up_to(serial, sent_at):
            return 0
        if history.has_newer_timeout(serial, sent_at):
            return 0
        if history.has_newer_answer(serial, sent_at):
            return serial
        self._begin_suspicion(now, history, serial)
        return 0

    def newest_suspected(self, now: float, upstream_id: str) -> int:
        """Return the newest connection suspected to be silent; 0 for none."""
        history = self._histories_by_id.get(upstream_id)
        if history is None or now - history.suspicion.since > SUSPICION_LIFETIME_S:
            return 0
        return history.suspicion.serial

    def forget(self, upstream_id: str) -> None:
        """Drop the history of an upstream's connections."""
        self._histories_by_id.pop(upstream_id, None)

    def _begin_suspicion(
        self, now: float, history: _ConnectionHistory, serial: int
    ) -> None:
        suspicion = history.suspicion
        if suspicion.serial:
            history.suspicion = suspicion._replace(serial=max(serial, suspicion.serial))
        elif now - history.suspected_at >= MIN_SUSPICION_INTERVAL_S:
            # No newer connection has answered since the send, so all are suspected.
            newest = max(history.answered_at, default=serial)
            history.suspicion = _SuspectedConnections(max(serial, newest), now)
            history.suspected_at = now

    def _resolve(self, now: float, history: _ConnectionHistory, serial: int) -> int:
        suspicion, history.suspicion = history.suspicion, _NONE_SUSPECTED
        if serial <= suspicion.serial or now - suspicion.since > SUSPICION_LIFETIME_S:
            return 0
        return suspicion.serial
