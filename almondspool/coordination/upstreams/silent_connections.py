"""Detection of silent connections, as distinct from a slow upstream."""

from __future__ import annotations

import math
from typing import NamedTuple

from almondspool.transport.http_pool import SilenceDetector

# A shorter wait for an answer is no evidence against the connection.
MIN_SILENCE_S = 0.1
SUSPICION_S = 5.0
# Minimum time between suspicions of one upstream, so that a slow one isn't sent many
# reconnects.
SUSPICION_INTERVAL_S = 10.0
HISTORY_S = 60.0
MAX_HISTORY = 64


class _Suspicion(NamedTuple):
    """Connections up to a serial that may have gone silent."""

    serial: int
    since: float


_NO_SUSPICION = _Suspicion(0, -math.inf)


class _History:
    """Last answers and timeouts of one upstream's connections, by serial."""

    def __init__(self) -> None:
        self.answered_at: dict[int, float] = {}
        self.timed_out_at: dict[int, float] = {}
        self.suspicion = _NO_SUSPICION
        self.suspected_at = -math.inf

    def newer_answered(self, serial: int, since: float) -> bool:
        return any(n > serial and at >= since for n, at in self.answered_at.items())

    def older_answered(self, serial: int, since: float) -> bool:
        return any(n <= serial and at >= since for n, at in self.answered_at.items())

    def newer_timed_out(self, serial: int, since: float) -> bool:
        return any(n > serial and at >= since for n, at in self.timed_out_at.items())

    def prune(self, now: float) -> None:
        for times in (self.answered_at, self.timed_out_at):
            if len(times) > MAX_HISTORY:
                old = [n for n, at in times.items() if now - at > HISTORY_S]
                for serial in old:
                    del times[serial]


class SilentConnectionDetector(SilenceDetector):
    """Compares older with newer connections to each upstream.

    A connection is silent if its exchange got no byte while a newer connection
    answered, no newer one timed out and no older one answered: an overloaded upstream
    fails on all of them alike. Without a newer connection to compare with, the old
    ones are suspected: the next exchange opens a new one, and its answer decides.
    """

    def __init__(self) -> None:
        """Initialize without history."""
        self._histories_by_id: dict[str, _History] = {}

    def on_answer(self, now: float, upstream_id: str, serial: int) -> int:
        """Handle the first byte of a reply; return the newest serial to retire."""
        history = self._histories_by_id.get(upstream_id)
        if history is None:
            history = self._histories_by_id[upstream_id] = _History()
        history.answered_at[serial] = now
        if not history.suspicion.serial:
            return 0
        return self._resolve(now, history, serial)

    def on_timeout(
        self, now: float, upstream_id: str, serial: int, sent_at: float
    ) -> int:
        """Handle an exchange without a byte of reply; return the serial to retire."""
        history = self._histories_by_id.setdefault(upstream_id, _History())
        history.prune(now)
        history.timed_out_at[serial] = now
        if serial > history.suspicion.serial and sent_at >= history.suspicion.since:
            # The new connection got no answer either, so the upstream is slow.
            history.suspicion = _NO_SUSPICION
        if now - sent_at < MIN_SILENCE_S or history.older_answered(serial, sent_at):
            return 0
        if history.newer_timed_out(serial, sent_at):
            return 0
        if history.newer_answered(serial, sent_at):
            return serial
        self._begin_suspicion(now, history, serial)
        return 0

    def newest_suspected(self, now: float, upstream_id: str) -> int:
        """Return the newest connection suspected to be silent; 0 for none."""
        history = self._histories_by_id.get(upstream_id)
        if history is None or now - history.suspicion.since > SUSPICION_S:
            return 0
        return history.suspicion.serial

    def forget(self, upstream_id: str) -> None:
        """Drop the history of an upstream's connections."""
        self._histories_by_id.pop(upstream_id, None)

    def _begin_suspicion(self, now: float, history: _History, serial: int) -> None:
        suspicion = history.suspicion
        if suspicion.serial:
            history.suspicion = suspicion._replace(serial=max(serial, suspicion.serial))
        elif now - history.suspected_at >= SUSPICION_INTERVAL_S:
            # No newer connection has answered since, so they are suspected as well.
            newest = max(history.answered_at, default=serial)
            history.suspicion = _Suspicion(max(serial, newest), now)
            history.suspected_at = now

    def _resolve(self, now: float, history: _History, serial: int) -> int:
        suspicion, history.suspicion = history.suspicion, _NO_SUSPICION
        if serial <= suspicion.serial or now - suspicion.since > SUSPICION_S:
            return 0
        return suspicion.serial
