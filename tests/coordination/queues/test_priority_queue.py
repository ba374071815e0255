from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.coordination.queues.priority_queue import (
    AGED_POP_INTERVAL,
    PriorityQueue,
)

QUEUE_AGING_S = 0.1

EVENTS = st.lists(
    st.tuples(st.integers(0, 2), st.booleans(), st.integers(0, 50)), max_size=150
)


class PriorityQueueTests(testtools.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(EVENTS)
    def test_only_aged_items_overtake_and_rarely(self, events):
        queue = PriorityQueue(QUEUE_AGING_S)
        now = 0.0
        waiting = {}
        overtake_flags = []
        for number, (priority, push, step_ms) in enumerate(events):
            now += step_ms / 1000
            if push:
                queue.push(now, number, priority)
                waiting[number] = (priority, now)
                continue
            key = queue.pop(now)
            self.assertEqual(not waiting, key is None)
            if key is None:
                continue
            popped_priority, since = waiting.pop(key)
            overtakes = any(other < popped_priority for other, _ in waiting.values())
            overtake_flags.append(overtakes)
            if overtakes:
                self.assertGreaterEqual(now - since, QUEUE_AGING_S)
            same = [k for k, (p, _) in waiting.items() if p == popped_priority]
            self.assertTrue(all(key < other for other in same))
        self.assertEqual(len(waiting), len(queue))
        for start in range(len(overtake_flags)):
            self.assertLessEqual(
                sum(overtake_flags[start : start + AGED_POP_INTERVAL]), 1
            )

    def test_the_newest_of_the_lowest_class_is_evicted(self):
        queue = PriorityQueue(QUEUE_AGING_S)
        for key, priority in (("u", 0), ("b1", 2), ("b2", 2), ("n", 1)):
            queue.push(0.0, key, priority)
        self.assertEqual(["b2", "b1", None], [queue.evict_lowest(1) for _ in range(3)])
        self.assertEqual("n", queue.evict_lowest(0))
        self.assertEqual(["u"], list(queue.keys()))
