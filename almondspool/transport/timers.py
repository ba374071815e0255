"""Timer service: the only source of time and of timer callbacks."""

from __future__ import annotations

import abc
import heapq
import itertools
import time
from typing import TYPE_CHECKING, NamedTuple

import eventlet
from eventlet.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

_MS_PER_S = 1000


class TimerHandle(abc.ABC):
    """A pending or repeating callback that can be cancelled."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancel the callback; idempotent."""


class TimerService(abc.ABC):
    """Clock and scheduler of callbacks."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""

    @abc.abstractmethod
    def wall_time(self) -> float:
        """Return seconds since the Unix epoch."""

    def epoch_ms(self) -> int:
        """Return whole milliseconds since the Unix epoch."""
        return int(self.wall_time() * _MS_PER_S)

    def sleep(self, duration_s: float) -> None:
        """Block the calling green thread for a duration in seconds."""
        woken = Event()
        self.call_later(duration_s, woken.send)
        woken.wait()

    @abc.abstractmethod
    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back once after a delay in seconds."""

    @abc.abstractmethod
    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back every interval, in seconds, until cancelled."""


class _EventletTimerHandle(TimerHandle):
    def __init__(self) -> None:
        self._cancelled = False
        self._thread: eventlet.greenthread.GreenThread | None = None

    def attach(self, thread: eventlet.greenthread.GreenThread) -> None:
        self._thread = thread

    @property
    def cancelled(self) -> bool:
        return self._cancelled

    def cancel(self) -> None:
        self._cancelled = True
        if self._thread is not None:
            self._thread.cancel()


class EventletTimers(TimerService):
    """Timers on the eventlet hub; each callback runs in its own green thread."""

    def now(self) -> float:
        """Return the process's monotonic clock in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the system clock in seconds since the epoch."""
        return time.time()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back once after a delay in seconds."""
        handle = _EventletTimerHandle()
        handle.attach(eventlet.spawn_after(max(0.0, delay_s), callback))
        return handle

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back every interval, in seconds, until cancelled."""
        handle = _EventletTimerHandle()
        handle.attach(eventlet.spawn(self._repeat, interval_s, callback, handle))
        return handle

    def _repeat(
        self,
        interval_s: float,
        callback: Callable[[], None],
        handle: _EventletTimerHandle,
    ) -> None:
        while not handle.cancelled:
            eventlet.sleep(interval_s)
            callback()


class _VirtualTimer(NamedTuple):
    due: float
    sequence: int
    handle: _VirtualTimerHandle
    interval_s: float
    callback: Callable[[], None]


class _VirtualTimerHandle(TimerHandle):
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class VirtualTimers(TimerService):
    """Timers under virtual time, for replayed sessions; no callback ever sleeps."""

    def __init__(self, start: float = 0.0, epoch: float = 1_700_000_000.0) -> None:
        """Create a clock at a monotonic second, with an epoch offset in seconds."""
        self._now = start
        self._epoch = epoch
        self._timer_heap: list[_VirtualTimer] = []
        self._sequence_numbers = itertools.count()

    def now(self) -> float:
        """Return virtual seconds."""
        return self._now

    def wall_time(self) -> float:
        """Return virtual seconds since the Unix epoch."""
        return self._epoch + self._now

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back once after a virtual delay in seconds."""
        return self._add(self._now + max(0.0, delay_s), 0.0, callback)

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back every virtual interval, in seconds, until cancelled."""
        return self._add(self._now + interval_s, interval_s, callback)

    def advance(self, duration_s: float) -> None:
        """Advance the clock and run every callback that falls due, in order."""
        end = self._now + duration_s
        while self._timer_heap and self._timer_heap[0].due <= end:
            entry = heapq.heappop(self._timer_heap)
            if entry.handle.cancelled:
                continue
            self._now = max(self._now, entry.due)
            if entry.interval_s:
                self._push(entry.due + entry.interval_s, entry)
            entry.callback()
        self._now = end

    def _add(
        self, due: float, interval_s: float, callback: Callable[[], None]
    ) -> TimerHandle:
        handle = _VirtualTimerHandle()
        entry = _VirtualTimer(due, 0, handle, interval_s, callback)
        self._push(due, entry)
        return handle

    def _push(self, due: float, entry: _VirtualTimer) -> None:
        heapq.heappush(
            self._timer_heap,
            entry._replace(due=due, sequence=next(self._sequence_numbers)),
        )
