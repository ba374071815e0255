"""Non-blocking event log on a pipe, with a rate limit per event."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, NamedTuple

from almondspool.logs import EventLog, format_event, format_prefix

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondspool.transport.timers import TimerService

# Default rate limit of one event. A successful request logs one line; failures have
# events of their own with higher limits.
DEFAULT_PER_S = 40.0
DEFAULT_BURST = 80.0
FLUSH_INTERVAL_S = 0.1
SUMMARY_INTERVAL_S = 1.0
# Lines are dropped and counted while more than this is waiting for the reader.
MAX_PENDING_BYTES = 256 * 1024


class EventRate(NamedTuple):
    """Rate limit of an event.

    Attributes:
        per_s: Lines per second.
        burst: Lines that may be written at once.
    """

    per_s: float = DEFAULT_PER_S
    burst: float = DEFAULT_BURST


class _TokenBucket:
    __slots__ = ("at", "left", "rate", "suppressed")

    def __init__(self, now: float, rate: EventRate) -> None:
        self.rate = rate
        self.left = rate.burst
        self.at = now
        self.suppressed = 0


class RateLimitedEventLog(EventLog):
    """Writes events to a file descriptor and logs how many were left out.

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
            rates_by_event: Rate limits of events that do not have the default one.
        """
        super().__init__(self._append)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._timers = timers
        self._rates_by_event = dict(rates_by_event or {})
        self._buckets_by_event: dict[str, _TokenBucket] = {}
        self._pending = bytearray()
        self._reported_dropped = 0
        self.dropped = 0

    def start(self) -> None:
        """Start the periodic flush and summary of suppressed lines."""
        self._timers.subscribe(FLUSH_INTERVAL_S, self.flush)
        self._timers.subscribe(SUMMARY_INTERVAL_S, self._summarize)

    def write(self, event: str, **fields: object) -> None:
        """Write one event as one line, unless it exceeds its rate limit."""
        if self._try_acquire(event):
            super().write(event, **fields)

    def flush(self) -> None:
        """Write as many buffered bytes as the pipe can take."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; the lines are counted as dropped.
            self.dropped += self._pending.count(b"\n")
            self._pending.clear()
            return
        del self._pending[:written]

    def _append(self, line: str) -> None:
        if len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        prefix = format_prefix(self._timers.wall_time(), "info")
        self._pending += f"{prefix}{line}\n".encode()

    def _try_acquire(self, event: str) -> bool:
        now = self._timers.now()
        bucket = self._buckets_by_event.get(event)
        if bucket is None:
            rate = self._rates_by_event.get(event, EventRate())
            bucket = self._buckets_by_event[event] = _TokenBucket(now, rate)
        rate = bucket.rate
        bucket.left = min(rate.burst, bucket.left + (now - bucket.at) * rate.per_s)
        bucket.at = now
        if bucket.left < 1.0:
            bucket.suppressed += 1
            return False
        bucket.left -= 1.0
        return True

    def _summarize(self) -> None:
        for event, bucket in self._buckets_by_event.items():
            if bucket.suppressed:
                line = format_event("log.suppressed", of=event, lines=bucket.suppressed)
                bucket.suppressed = 0
                self._append(line)
        if self.dropped > self._reported_dropped:
            lines = self.dropped - self._reported_dropped
            self._reported_dropped = self.dropped
            self._append(format_event("log.dropped", lines=lines))
