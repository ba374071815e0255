"""Polls the load reports of the upstreams whose connections the instance holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from almondspool.protocol.upstream import LoadReport, UpstreamInterface
    from almondspool.state.document import Upstream
    from almondspool.transport.timers import TimerService

POLL_TIMEOUT_S = 0.5
POLLS_AT_A_TIME = 8


class LoadPollTask:
    """Asks each held upstream for its load once an interval.

    A report is a hint; one that does not come is skipped until the next round.
    """

    def __init__(
        self,
        upstream: UpstreamInterface,
        timers: TimerService,
        held_upstreams: Callable[[], Mapping[str, Upstream]],
        on_report: Callable[[str, LoadReport], None],
    ) -> None:
        """Poll for a taker of reports.

        Args:
            upstream: Makes the calls.
            timers: The time.
            held_upstreams: Returns the upstreams to poll, by id.
            on_report: Takes an upstream's id and its report.
        """
        self._upstream = upstream
        self._timers = timers
        self._held_upstreams = held_upstreams
        self._on_report = on_report
        self._pool = eventlet.GreenPool(POLLS_AT_A_TIME)
        self._is_polling = False

    def start(self, interval_s: float) -> None:
        """Poll every interval, in seconds."""
        self._timers.subscribe(interval_s, self._poll_all)

    def _poll_all(self) -> None:
        if self._is_polling:
            return
        self._is_polling = True
        try:
            for upstream in tuple(self._held_upstreams().values()):
                self._pool.spawn_n(self._poll, upstream)
            self._pool.waitall()
        finally:
            self._is_polling = False

    def _poll(self, upstream: Upstream) -> None:
        report = self._upstream.load(upstream, POLL_TIMEOUT_S)
        if report is not None:
            self._on_report(upstream.upstream_id, report)
