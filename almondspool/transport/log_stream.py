"""Non-blocking event log on a pipe, with a rate limit per event."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, NamedTuple

from almondspool.logs import EventLog, format_event, format_prefix

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.transport.timers import TimerService

# Default rate limit of an event, in lines. A successful request logs one line; the
# events of failures are separate and have higher limits.
DEFAULT_LINES_PER_S = 40.0
DEFAULT_BURST_LINES = 80.0
FLUSH_INTERVAL_S = 0.1
# Interval of the lines that count suppressed and dropped lines.
SUMMARY_INTERVAL_S = 1.0
# New lines are dropped and counted while more than this is buffered for the reader.
MAX_UNWRITTEN_BYTES = 256 * 1024


class EventRate(NamedTuple):
    """Rate limit of an event.

    Attributes:
        lines_per_s: Lines per second in the long run.
        burst_lines: Lines that may be written at once.
    """

    lines_per_s: float = DEFAULT_LINES_PER_S
    burst_lines: float = DEFAULT_BURST_LINES


class _TokenBucket:
    """Token bucket of one event.

    Attributes:
        rate: The rate limit.
        tokens: Number of lines that may be written at once.
        refilled_at: When tokens were last added, in monotonic seconds.
        suppressed_lines: Lines suppressed since the last summary.
    """

    __slots__ = ("refilled_at", "tokens", "rate", "suppressed_lines")

    def __init__(self, now: float, rate: EventRate) -> None:
        self.rate = rate
        self.tokens = rate.burst_lines
        self.refilled_at = now
        self.suppressed_lines = 0


class RateLimitedEventLog(EventLog):
    """Writes events to a file descriptor, and the numbers of lines left out.

    Attributes:
        dropped: Lines dropped because the pipe was full or had no reader.
    """

    def __init__(
        self,
        descriptor: int,
        timers: TimerService,
        rates_by_event: Mapping[str, EventRate] | None = None,
    ) -> None:
        """Create a log on a descriptor, which becomes non-blocking.

        Args:
            descriptor: The file descriptor, usually that of standard output.
            timers: The timer service.
            rates_by_event: Rate limits of events for which the default does not apply.
        """
        super().__init__(self._append)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._timers = timers
        self._rates_by_event = dict(rates_by_event or {})
        self._buckets_by_event: dict[str, _TokenBucket] = {}
        self._unwritten = bytearray()
        self._reported_dropped = 0
        self.dropped = 0

    def start(self) -> None:
        """Start the periodic flush and the summaries of lines left out."""
        self._timers.subscribe(FLUSH_INTERVAL_S, self.flush)
        self._timers.subscribe(SUMMARY_INTERVAL_S, self._summarize)

    def write(self, event: str, **fields: object) -> None:
        """Write one event as one line, unless it exceeds its rate limit."""
        if self._try_acquire(event):
            super().write(event, **fields)

    def flush(self) -> None:
        """Write as many buffered bytes as the pipe can take."""
        if not self._unwritten:
            return
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; the lines are counted as dropped.
            self.dropped += self._unwritten.count(b"\n")
            self._unwritten.clear()
            return
        del self._unwritten[:written]

    def _append(self, line: str) -> None:
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self.dropped += 1
            return
        prefix = format_prefix(self._timers.wall_time(), "info")
        self._unwritten += f"{prefix}{line}\n".encode()

    def _try_acquire(self, event: str) -> bool:
        now = self._timers.now()
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            rate = self._rates_by_event.get(event, EventRate())
            bucket = self._buckets_by_event[event] = _TokenBucket(now, rate)
        rate = bucket.rate
        bucket.tokens = min(
            rate.burst_lines,
            bucket.tokens + (now - bucket.refilled_at) * rate.lines_per_s,
        )
        bucket.refilled_at = now
        if bucket.tokens < 1.0:
            bucket.suppressed_lines += 1
            return False
        bucket.tokens -= 1.0
        return True

    def _summarize(self) -> None:
        for event, bucket in self._buckets_by_event.items():
            if bucket.suppressed_lines:
                line = format_event(
                    "log.suppressed", of=event, lines=bucket.suppressed_lines
                )
                bucket.suppressed_lines = 0
                self._append(line)
        if self.dropped > self._reported_dropped:
            lines = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self._append(format_event("log.dropped", lines=lines))
