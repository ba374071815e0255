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
    """A scheduled callback, one-time or repeating, that can be cancelled."""

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
        self._is_cancelled = False
        self._thread: eventlet.greenthread.GreenThread | None = None

    def set_thread(self, thread: eventlet.greenthread.GreenThread) -> None:
        self._thread = thread

    @property
    def is_cancelled(self) -> bool:
        return self._is_cancelled

    def cancel(self) -> None:
        self._is_cancelled = True
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
        handle.set_thread(eventlet.spawn_after(max(0.0, delay_s), callback))
        return handle

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back every interval, in seconds, until cancelled."""
        handle = _EventletTimerHandle()
        handle.set_thread(eventlet.spawn(self._repeat, interval_s, callback, handle))
        return handle

    def _repeat(
        self,
        interval_s: float,
        callback: Callable[[], None],
        handle: _EventletTimerHandle,
    ) -> None:
        while not handle.is_cancelled:
            eventlet.sleep(interval_s)
            if not handle.is_cancelled:
                callback()


class _VirtualTimer(NamedTuple):
    """A timer on the heap.

    Attributes:
        due_at: When to call back, in virtual monotonic seconds.
        sequence: Orders timers that are due at the same time.
        handle: The handle given to the subscriber.
        interval_s: Interval of a repeating timer, in seconds; 0.0 for a single one.
        callback: Called when the timer is due.
    """

    due_at: float
    sequence: int
    handle: _VirtualTimerHandle
    interval_s: float
    callback: Callable[[], None]


class _VirtualTimerHandle(TimerHandle):
    def __init__(self) -> None:
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class VirtualTimers(TimerService):
    """Virtual clock and its timers, for replayed sessions.

    Only advance() moves the clock and runs callbacks; nothing sleeps.
    """

    def __init__(self, start: float = 0.0, epoch: float = 1_700_000_000.0) -> None:
        """Create a clock.

        Args:
            start: The monotonic time at first, in seconds.
            epoch: Seconds since the Unix epoch at monotonic time 0.
        """
        self._now = start
        self._epoch = epoch
        self._timer_heap: list[_VirtualTimer] = []
        self._sequence_numbers = itertools.count()

    def now(self) -> float:
        """Return virtual monotonic time in seconds."""
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
        """Advance the clock and run the callbacks that fall due, in order of time.

        Those due at the same time run in the order in which they were scheduled.

        Args:
            duration_s: By how much to advance, in seconds.
        """
        end = self._now + duration_s
        while self._timer_heap and self._timer_heap[0].due_at <= end:
            entry = heapq.heappop(self._timer_heap)
            if entry.handle.is_cancelled:
                continue
            self._now = max(self._now, entry.due_at)
            if entry.interval_s:
                self._push(entry.due_at + entry.interval_s, entry)
            entry.callback()
        self._now = end

    def _add(
        self, due_at: float, interval_s: float, callback: Callable[[], None]
    ) -> TimerHandle:
        handle = _VirtualTimerHandle()
        entry = _VirtualTimer(due_at, 0, handle, interval_s, callback)
        self._push(due_at, entry)
        return handle

    def _push(self, due_at: float, entry: _VirtualTimer) -> None:
        heapq.heappush(
            self._timer_heap,
            entry._replace(due_at=due_at, sequence=next(self._sequence_numbers)),
        )
