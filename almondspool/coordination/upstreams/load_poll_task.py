"""Polling of upstreams for load reports when replies to legs carry none."""

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
MAX_CONCURRENT_POLLS = 8


class LoadPollTask:
    """Polls the upstreams that are due, in rounds of a fixed interval.

    A report is only a hint, so a failed poll is not repeated before the next round.
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
        """Initialize; rounds begin with start().

        Args:
            instance: This instance.
            upstream: Makes the calls.
            timers: Clock and timers.
            held_upstreams: Returns the upstreams to which this instance holds
                connections, by id.
            holders: Returns the instances with connections to an upstream.
            on_report: Called with an upstream's id and its report.
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
        self._pool = eventlet.GreenPool(MAX_CONCURRENT_POLLS)
        self._is_polling = False

    def start(self) -> None:
        """Start the rounds of polls."""
        self._timers.subscribe(self._interval_s, self._poll_due)

    def on_reply(self, upstream_id: str, report: LoadReport | None) -> None:
        """Handle a reply to a leg or a poll, with its load report if there is one."""
        now = self._timers.now()
        if report is None:
            self._polls.record_reply_without_report(now, upstream_id)
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
            for upstream_id in self._polls.select_due(
                now, held.keys(), self._is_poller
            ):
                self._pool.spawn_n(self._poll, held[upstream_id])
            self._pool.waitall()
        finally:
            self._is_polling = False

    def _is_poller(self, upstream_id: str) -> bool:
        return is_poller(self._instance, upstream_id, self._holders(upstream_id))

    def _poll(self, upstream: Upstream) -> None:
        report = self._upstream.fetch_load(upstream, POLL_TIMEOUT_S)
        if report is not None:
            self.on_reply(upstream.upstream_id, report)
