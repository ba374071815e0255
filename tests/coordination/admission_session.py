"""Open-loop load on admission control with a fixed capacity, under virtual time."""

from __future__ import annotations

import collections
import random

from almondspool.coordination.admission.admission import Admission, Admit, Queue, Refuse
from almondspool.state.document import Priority
from almondspool.transport.timers import VirtualTimers

SERVERS = 8
SERVICE_S = 0.020
DEADLINE_S = 0.160
CAPACITY_PER_S = SERVERS / SERVICE_S
SHARE_BY_PRIORITY = {
    Priority.URGENT: 0.2,
    Priority.NORMAL: 0.4,
    Priority.BACKGROUND: 0.4,
}


class AdmissionSession:
    """Submits requests at seeded random times and runs the admitted ones.

    Arrivals don't depend on answers. Above SERVERS concurrent requests, service times
    grow with their number.
    """

    def __init__(self, seed=1, concurrent=SERVERS, queue_limit=2000):
        self.timers = VirtualTimers()
        self.admission = Admission(0.0, concurrent, queue_limit, seed)
        self.random = random.Random(seed)
        self.arrived_by_id = {}
        self.priority_by_id = {}
        self.outcomes_by_id = collections.defaultdict(list)
        self.counts = collections.Counter()
        self.waits_by_priority = collections.defaultdict(list)
        self.retry_after_ms = 0
        self.running = 0
        self.timers.subscribe(0.02, self._tick)

    def load(self, factor, duration_s):
        """Generate arrivals at a multiple of the capacity, in requests per second."""
        end = self.timers.now() + duration_s
        while self.timers.now() < end:
            gap_s = self.random.expovariate(factor * CAPACITY_PER_S)
            self.timers.advance(gap_s)
            self._arrive()

    def _arrive(self):
        now = self.timers.now()
        request_id = f"r{len(self.arrived_by_id)}"
        shares = list(SHARE_BY_PRIORITY.values())
        priority = self.random.choices(list(Priority), shares)[0]
        self.arrived_by_id[request_id] = now
        self.priority_by_id[request_id] = priority
        self.counts["arrived", priority] += 1
        self._execute(self.admission.submit(now, request_id, priority, DEADLINE_S))

    def _execute(self, actions):
        for action in actions:
            if isinstance(action, Queue):
                continue
            self.outcomes_by_id[action.request_id].append(action)
            priority = self.priority_by_id[action.request_id]
            if isinstance(action, Refuse):
                self.counts["refused", priority] += 1
                self.retry_after_ms = action.retry_after_ms
            elif isinstance(action, Admit):
                self._run(action, priority)

    def _run(self, action, priority):
        self.running += 1
        self.waits_by_priority[priority].append(action.waited_s)
        slowdown = max(1.0, self.running / SERVERS)
        service_s = SERVICE_S * slowdown * self.random.uniform(0.8, 1.2)
        self.timers.call_later(
            service_s, lambda: self._finish(action.request_id, service_s)
        )

    def _finish(self, request_id, service_s):
        self.running -= 1
        now = self.timers.now()
        in_time = now <= self.arrived_by_id[request_id] + DEADLINE_S
        priority = self.priority_by_id[request_id]
        self.counts["in time" if in_time else "late", priority] += 1
        self._execute(self.admission.finish(now, request_id, service_s))

    def _tick(self):
        self._execute(self.admission.on_timer(self.timers.now()))

    def goodput(self):
        """Return the number of requests that finished before their deadline."""
        return sum(self.counts["in time", priority] for priority in Priority)

    def summary_line(self, title):
        """Return a line for the golden file and reset the counts."""
        counts = self.counts
        cells = [
            f"{priority.name.lower()} {counts['arrived', priority]} arrived"
            f" {counts['in time', priority]} in time {counts['late', priority]} late"
            f" {counts['refused', priority]} refused"
            for priority in Priority
        ]
        stats = self.admission.stats(self.timers.now())
        text = f"{self.timers.now():5.1f} s  {title}: " + "; ".join(cells)
        text += f"; {stats.waiting} wait, retry after {self.retry_after_ms} ms"
        self.counts = collections.Counter()
        self.retry_after_ms = 0
        return text
