"""Reports of requests that crash upstreams to all other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import eventlet.event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from almondspool.logs import EventLog
    from almondspool.protocol.peer import Suspicion
    from almondspool.transport.peer_channel import PeerMessage

# Longest wait for confirmations, in seconds. An instance that fails does not confirm,
# and the caller's answer is held back meanwhile.
MAX_CONFIRMATION_WAIT_S = 0.5


class _Report(NamedTuple):
    """A report that has been sent.

    Attributes:
        unconfirmed: Instances that have not confirmed it.
        is_confirmed: Set once none is left.
    """

    unconfirmed: set[str]
    is_confirmed: eventlet.event.Event


class SuspicionReports:
    """Sends suspicions to the other instances and receives theirs.

    An instance confirms a suspicion that is new to it by returning it.
    """

    def __init__(
        self,
        send_all: Callable[[Suspicion], Collection[str]],
        merge: Callable[[Suspicion], bool],
        log: EventLog,
    ) -> None:
        """Start without reports.

        Args:
            send_all: Sends a suspicion to all other instances and returns their names.
            merge: Merges a suspicion; returns whether it was new.
            log: The event log.
        """
        self._send_all = send_all
        self._merge = merge
        self._log = log
        self._reports_by_suspicion: dict[Suspicion, _Report] = {}

    def report(self, suspicion: Suspicion) -> None:
        """Send a suspicion and wait until it is confirmed by all other instances.

        Blocks the green thread for up to MAX_CONFIRMATION_WAIT_S.
        """
        report = self._reports_by_suspicion.get(suspicion)
        if report is None:
            report = _Report(set(self._send_all(suspicion)), eventlet.event.Event())
            self._reports_by_suspicion[suspicion] = report
        if report.unconfirmed:
            report.is_confirmed.wait(MAX_CONFIRMATION_WAIT_S)
        self._reports_by_suspicion.pop(suspicion, None)
        if report.unconfirmed:
            self._log.write(
                "request.report_unconfirmed",
                fingerprint=suspicion.fingerprint,
                instances=sorted(report.unconfirmed),
            )

    def on_suspicion(self, item: PeerMessage) -> None:
        """Handle another instance's suspicion, or its confirmation of an own one."""
        suspicion: Suspicion = item.message
        report = self._reports_by_suspicion.get(suspicion)
        if report is not None:
            self._confirm(report, item.sender)
        elif self._merge(suspicion):
            self._log.write(
                "request.suspected",
                fingerprint=suspicion.fingerprint,
                upstream=suspicion.upstream_id,
                crashes=suspicion.crashes,
                reported_by=item.sender,
            )
            item.reply(suspicion)

    def _confirm(self, report: _Report, instance: str) -> None:
        if instance not in report.unconfirmed:
            return
        report.unconfirmed.remove(instance)
        if not report.unconfirmed:
            report.is_confirmed.send()
