"""Detection of requests that crash upstreams.

A connection that breaks while a request runs does not prove that the upstream crashed:
perhaps only the reply was lost. An upstream counts as crashed if it then refuses a new
connection while others accept one: if none does, the path to all of them is cut.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from almondspool.coordination.search.quarantine import Quarantine, QuarantineState

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondspool.logs import EventLog
    from almondspool.protocol.exchange import CallerRequest
    from almondspool.protocol.peer import Suspicion
    from almondspool.state.routes import Replica

# How long a crash counts. Callers repeat a crashing request within seconds; after two
# minutes the upstream may have been fixed, so the request is tried again.
QUARANTINE_S = 120.0


def request_fingerprint(request: CallerRequest) -> str:
    """Return a hash of the content of a request; its id is not part of it."""
    content_hash = xxhash.xxh3_128(request.method.encode())
    for part in (request.host.encode(), request.target.encode(), request.body):
        content_hash.update(b"\0")
        content_hash.update(part)
    return content_hash.hexdigest()


def _assume_reachable(on_result: Callable[[bool], None]) -> None:
    on_result(True)


class CrashDetector:
    """Probes upstreams after broken connections and quarantines crashing requests."""

    def __init__(
        self,
        epoch_ms: Callable[[], int],
        probe: Callable[[Replica, Callable[[bool], None]], None],
        publish: Callable[[Suspicion], None],
        is_leaving: Callable[[Replica], bool],
        log: EventLog,
        check_reachable: Callable[[Callable[[bool], None]], None] = _assume_reachable,
    ) -> None:
        """Start without suspicions.

        Args:
            epoch_ms: Returns milliseconds since the epoch, comparable between
                instances.
            probe: Opens a connection to an upstream and calls back with whether it was
                refused.
            publish: Sends a suspicion to the other instances.
            is_leaving: Returns whether an upstream announced its shutdown. A broken
                connection is then no crash, and the upstream is not probed.
            log: The event log.
            check_reachable: Calls back with whether other upstreams can be connected
                to. If not, a refused connection shows no crash.
        """
        self._check_reachable = check_reachable
        self._epoch_ms = epoch_ms
        self._probe = probe
        self._publish = publish
        self._is_leaving = is_leaving
        self._log = log
        self._quarantine = Quarantine(QUARANTINE_S)

    def has_suspects(self) -> bool:
        """Return whether any request has recently crashed an upstream."""
        return len(self._quarantine) > 0

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request has recently crashed two upstreams."""
        state = self._quarantine.state_of(self._epoch_ms(), fingerprint)
        return state is QuarantineState.QUARANTINED

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request has recently crashed an upstream."""
        state = self._quarantine.state_of(self._epoch_ms(), fingerprint)
        return state is not QuarantineState.CLEAR

    def on_broken_connection(
        self, replica: Replica, fingerprint: str, on_result: Callable[[bool], None]
    ) -> None:
        """Handle a broken connection: probe whether the upstream has crashed.

        Args:
            replica: The upstream whose connection broke.
            fingerprint: The request's fingerprint.
            on_result: Called once with whether the upstream has crashed, possibly
                before this method returns.
        """

        def on_probed(is_refused: bool) -> None:
            if is_refused:
                self._check_reachable(on_checked)
            else:
                on_result(False)

        def on_checked(are_others_reachable: bool) -> None:
            if are_others_reachable:
                self._record_crash(replica, fingerprint)
            on_result(are_others_reachable)

        if self._is_leaving(replica):
            on_result(False)
            return
        self._probe(replica, on_probed)

    def merge(self, suspicion: Suspicion) -> None:
        """Merge a suspicion from another instance."""
        if self._quarantine.merge(self._epoch_ms(), suspicion):
            self._log.write(
                "request.suspected",
                fingerprint=suspicion.fingerprint,
                replica=suspicion.upstream_id,
                crashes=suspicion.crashes,
            )

    def _record_crash(self, replica: Replica, fingerprint: str) -> None:
        now_ms = self._epoch_ms()
        suspicion = self._quarantine.record_cut_off(
            now_ms, fingerprint, replica.replica_id
        )
        self._log.write(
            "request.crashed_upstream",
            fingerprint=fingerprint,
            replica=replica.replica_id,
            crashes=suspicion.crashes,
        )
        self._publish(suspicion)
