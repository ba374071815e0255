"""Timers whose callbacks run on eventlet's hub, without a green thread for each."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from eventlet import hubs

from almondspool.transport.timers import TimerHandle, TimerService

if TYPE_CHECKING:
    from collections.abc import Callable


class _HubTimerHandle(TimerHandle):
    __slots__ = ("_timer", "is_cancelled")

    def __init__(self) -> None:
        self._timer = None
        self.is_cancelled = False

    def set_timer(self, timer: object) -> None:
        self._timer = timer

    def cancel(self) -> None:
        self.is_cancelled = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HubTimers(TimerService):
    """Timers for callbacks that never block: they run on the hub's own greenlet.

    A search sets two or three timers; a green thread for each would cost more than
    the scheduling decisions themselves.
    """

    def now(self) -> float:
        """Return the process's monotonic clock in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the system clock in seconds since the epoch."""
        return time.time()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back once after a delay in seconds."""
        handle = _HubTimerHandle()
        hub = hubs.get_hub()
        handle.set_timer(hub.schedule_call_global(max(0.0, delay_s), callback))
        return handle

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> TimerHandle:
        """Call back every interval, in seconds, until cancelled."""
        handle = _HubTimerHandle()

        def repeat() -> None:
            if handle.is_cancelled:
                return
            hub = hubs.get_hub()
            handle.set_timer(hub.schedule_call_global(interval_s, repeat))
            callback()

        hub = hubs.get_hub()
        handle.set_timer(hub.schedule_call_global(interval_s, repeat))
        return handle
