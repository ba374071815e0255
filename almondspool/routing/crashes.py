"""Requests that crash upstreams, told from connections that broke for other reasons.

A connection that breaks while a request runs is no crash by itself: the reply may have
been lost. Only an upstream that then refuses a new connection has crashed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from almondspool.coordination.search.quarantine import Quarantine, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.logs import EventLog
    from almondspool.protocol.exchange import CallerRequest
    from almondspool.protocol.peer import Suspicion
    from almondspool.state.routes import Replica

# Callers send a crashing request again within seconds; one that is asked for after
# two minutes may have been mended with the upstream.
QUARANTINE_S = 120.0


def fingerprint(request: CallerRequest) -> str:
    """Return a digest of what a request runs, under whatever id it comes."""
    digest = xxhash.xxh3_128(request.method.encode())
    for part in (request.host.encode(), request.target.encode(), request.body):
        digest.update(b"\0")
        digest.update(part)
    return digest.hexdigest()


class CrashWatch:
    """Finds out which broken connections were crashes, and keeps who caused them."""

    def __init__(
        self,
        epoch_ms: Callable[[], int],
        probe: Callable[[Replica, Callable[[bool], None]], None],
        publish: Callable[[Suspicion], None],
        is_leaving: Callable[[Replica], bool],
        log: EventLog,
    ) -> None:
        """Start without suspicions.

        Args:
            epoch_ms: Returns milliseconds since the epoch, as peers count them.
            probe: Opens a connection and tells whether it was refused.
            publish: Sends a suspicion to the other instances.
            is_leaving: Whether an upstream said that it ends, so that its end is no
                crash, and it gets no new connection.
            log: The event log.
        """
        self._epoch_ms = epoch_ms
        self._probe = probe
        self._publish = publish
        self._is_leaving = is_leaving
        self._log = log
        self._quarantine = Quarantine(QUARANTINE_S)

    def is_known(self) -> bool:
        """Return whether any request crashed an upstream lately."""
        return len(self._quarantine) > 0

    def is_quarantined(self, digest: str) -> bool:
        """Return whether a request crashed two upstreams."""
        verdict = self._quarantine.verdict(self._epoch_ms(), digest)
        return verdict is Verdict.QUARANTINED

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request crashed an upstream lately."""
        verdict = self._quarantine.verdict(self._epoch_ms(), digest)
        return verdict is not Verdict.CLEAR

    def note_broken(
        self, replica: Replica, digest: str, on_known: Callable[[bool], None]
    ) -> None:
        """Find out whether an upstream crashed while it ran a request.

        Args:
            replica: The upstream whose connection broke.
            digest: The request's fingerprint.
            on_known: Called once with whether it crashed.
        """

        def known(is_refused: bool) -> None:
            if is_refused:
                self._note_crash(replica, digest)
            on_known(is_refused)

        if self._is_leaving(replica):
            known(False)
            return
        self._probe(replica, known)

    def merge(self, suspicion: Suspicion) -> None:
        """Take in what another instance saw."""
        self._quarantine.merge(self._epoch_ms(), suspicion)

    def _note_crash(self, replica: Replica, digest: str) -> None:
        now_ms = self._epoch_ms()
        suspicion = self._quarantine.note_cut_off(now_ms, digest, replica.replica_id)
        self._log.write(
            "request.crashed_upstream",
            fingerprint=digest,
            replica=replica.replica_id,
            crashes=suspicion.crashes,
        )
        self._publish(suspicion)
