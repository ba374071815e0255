"""Asks upstreams for their load reports, when replies to legs bring none."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from almondspool.coordination.upstreams.load_polls import LoadPolls, is_poller

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from almondspool.protocol.upstream import LoadReport, UpstreamInterface
    from almondspool.state.document import Upstream
    from almondspool.transport.timers import TimerService

POLL_TIMEOUT_S = 0.5
POLLS_AT_A_TIME = 8


class LoadPollTask:
    """Asks the held upstreams that are due in each round.

    A report is a hint; one that does not come is skipped until the next round.
    """

    def __init__(
        self,
        instance: str,
        upstream: UpstreamInterface,
        timers: TimerService,
        held_upstreams: Callable[[], Mapping[str, Upstream]],
        holders: Callable[[str], tuple[str, ...]],
        on_report: Callable[[str, LoadReport], None],
        interval_s: float,
    ) -> None:
        """Poll for a taker of reports.

        Args:
            instance: The own instance.
            upstream: Makes the calls.
            timers: The time.
            held_upstreams: Returns the upstreams held here, by id.
            holders: Returns the instances with connections to an upstream.
            on_report: Takes an upstream's id and its report.
            interval_s: Time between rounds, in seconds.
        """
        self._upstream = upstream
        self._timers = timers
        self._held_upstreams = held_upstreams
        self._instance = instance
        self._holders = holders
        self._on_report = on_report
        self._interval_s = interval_s
        self._polls = LoadPolls(interval_s)
        self._pool = eventlet.GreenPool(POLLS_AT_A_TIME)
        self._is_polling = False

    def start(self) -> None:
        """Begin the rounds."""
        self._timers.subscribe(self._interval_s, self._poll_due)

    def on_reply(self, upstream_id: str, report: LoadReport | None) -> None:
        """Take a reply to a leg, with the report that it brought if any."""
        now = self._timers.now()
        if report is None:
            self._polls.record_bare_reply(now, upstream_id)
            return
        self._polls.record_report(now, upstream_id, report)
        self._on_report(upstream_id, report)

    def _poll_due(self) -> None:
        if self._is_polling:
            return
        self._is_polling = True
        try:
            held = self._held_upstreams()
            now = self._timers.now()
            for upstream_id in self._polls.due(now, held.keys(), self._is_poller):
                self._pool.spawn_n(self._poll, held[upstream_id])
            self._pool.waitall()
        finally:
            self._is_polling = False

    def _is_poller(self, upstream_id: str) -> bool:
        return is_poller(self._instance, upstream_id, self._holders(upstream_id))

    def _poll(self, upstream: Upstream) -> None:
        report = self._upstream.load(upstream, POLL_TIMEOUT_S)
        if report is not None:
            self.on_reply(upstream.upstream_id, report)
