"""Tells connections that went silent from an upstream that is slow."""

from __future__ import annotations

import math
from typing import NamedTuple

from almondspool.transport.http_pool import ConnectionJudge

# A shorter wait for an answer says nothing about the connection.
MIN_SILENCE_S = 0.1
DOUBT_S = 5.0
# Time between doubts of one upstream, so that a slow one isn't sent reconnects.
DOUBT_INTERVAL_S = 10.0
HISTORY_S = 60.0
MAX_HISTORY = 64


class _Doubt(NamedTuple):
    """Connections up to a serial that may have gone silent."""

    serial: int
    since: float


_NO_DOUBT = _Doubt(0, -math.inf)


class _History:
    """Last answers and timeouts by connection of one upstream."""

    def __init__(self) -> None:
        self.answered_at: dict[int, float] = {}
        self.timed_out_at: dict[int, float] = {}
        self.doubt = _NO_DOUBT
        self.doubted_at = -math.inf

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


class ConnectionWatch(ConnectionJudge):
    """Compares older with newer connections to one upstream.

    A connection is silent if its exchange got no byte while a newer connection
    answered, no newer one timed out and no older one answered: an overloaded upstream
    fails on all of them alike. Without a newer connection to compare with, the old
    ones are in doubt: the next exchange opens a new one, and its answer decides.
    """

    def __init__(self) -> None:
        """Start without history."""
        self._histories_by_id: dict[str, _History] = {}

    def on_answer(self, now: float, upstream_id: str, serial: int) -> int:
        """Take the first byte of a reply; return what to retire."""
        history = self._histories_by_id.get(upstream_id)
        if history is None:
            history = self._histories_by_id[upstream_id] = _History()
        history.answered_at[serial] = now
        if not history.doubt.serial:
            return 0
        return self._resolve(now, history, serial)

    def on_timeout(
        self, now: float, upstream_id: str, serial: int, sent_at: float
    ) -> int:
        """Take an exchange without a byte of reply; return what to retire."""
        history = self._histories_by_id.setdefault(upstream_id, _History())
        history.prune(now)
        history.timed_out_at[serial] = now
        if serial > history.doubt.serial and sent_at >= history.doubt.since:
            # The new connection got no answer either: the upstream is slow.
            history.doubt = _NO_DOUBT
        if now - sent_at < MIN_SILENCE_S or history.older_answered(serial, sent_at):
            return 0
        if history.newer_timed_out(serial, sent_at):
            return 0
        if history.newer_answered(serial, sent_at):
            return serial
        self._begin_doubt(now, history, serial)
        return 0

    def newest_doubtful(self, now: float, upstream_id: str) -> int:
        """Return the newest connection not to be reused now; 0 for none."""
        history = self._histories_by_id.get(upstream_id)
        if history is None or now - history.doubt.since > DOUBT_S:
            return 0
        return history.doubt.serial

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream's connections."""
        self._histories_by_id.pop(upstream_id, None)

    def _begin_doubt(self, now: float, history: _History, serial: int) -> None:
        doubt = history.doubt
        if doubt.serial:
            history.doubt = doubt._replace(serial=max(serial, doubt.serial))
        elif now - history.doubted_at >= DOUBT_INTERVAL_S:
            # None of the newer ones has answered since, so they are no better known.
            newest = max(history.answered_at, default=serial)
            history.doubt = _Doubt(max(serial, newest), now)
            history.doubted_at = now

    def _resolve(self, now: float, history: _History, serial: int) -> int:
        doubt, history.doubt = history.doubt, _NO_DOUBT
        if serial <= doubt.serial or now - doubt.since > DOUBT_S:
            return 0
        return doubt.serial
