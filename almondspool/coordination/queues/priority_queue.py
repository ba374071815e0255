"""Queue by priority class with aging, which prevents starvation of lower classes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Generic, TypeVar

from almondspool.state.document import Priority

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterator

Key = TypeVar("Key", bound="Hashable")

# At most one pop in this many returns an aged key of a lower class.
AGED_POP_INTERVAL = 8


class PriorityQueue(Generic[Key]):
    """Keys ordered by priority class, the urgent one first, then by arrival.

    A key that has waited longer than the aging time may be popped ahead of higher
    classes, but by at most one pop in AGED_POP_INTERVAL, so that a long queue of aged
    keys does not delay urgent ones. A class with a lower number is higher.
    """

    def __init__(self, aging_s: float) -> None:
        """Initialize an empty queue.

        Args:
            aging_s: Wait after which a key may overtake higher classes, in seconds.
        """
        self._aging_s = aging_s
        self._queues: tuple[collections.OrderedDict[Key, float], ...] = tuple(
            collections.OrderedDict() for _ in Priority
        )
        self._pops_since_aged = 0

    def __len__(self) -> int:
        """Return how many keys wait."""
        return sum(map(len, self._queues))

    def length(self, priority: int) -> int:
        """Return how many keys of one class wait."""
        return len(self._queues[priority])

    def length_ahead(self, priority: int) -> int:
        """Return how many keys of the class and of higher classes wait."""
        return sum(len(waiting) for waiting in self._queues[: priority + 1])

    def push(self, now: float, key: Key, priority: int) -> None:
        """Append a key to its class."""
        self._queues[priority][key] = now

    def remove(self, key: Key, priority: int) -> bool:
        """Remove a key and return whether it waited."""
        return self._queues[priority].pop(key, None) is not None

    def pop(self, now: float) -> Key | None:
        """Remove and return the next key, or None if the queue is empty."""
        highest = self._highest_class()
        if highest is None:
            return None
        aged = self._oldest_aged(now, highest)
        if aged is not None and self._pops_since_aged >= AGED_POP_INTERVAL - 1:
            self._pops_since_aged = 0
            return self._pop_first(aged)
        self._pops_since_aged += 1
        return self._pop_first(highest)

    def evict_lowest(self, below: int) -> Key | None:
        """Remove and return the newest key of the lowest class, or None.

        Args:
            below: Only keys of a lower class than this one are removed.
        """
        for priority in reversed(Priority):
            if priority > below and self._queues[priority]:
                key, _ = self._queues[priority].popitem()
                return key
        return None

    def oldest_since(self) -> float | None:
        """Return when the longest waiting key was pushed, or None if none waits."""
        heads = [next(iter(waiting.values())) for waiting in self._queues if waiting]
        return min(heads, default=None)

    def keys(self) -> Iterator[Key]:
        """Yield the waiting keys, by class and arrival."""
        for waiting in self._queues:
            yield from waiting

    def _highest_class(self) -> int | None:
        for priority, waiting in enumerate(self._queues):
            if waiting:
                return priority
        return None

    def _oldest_aged(self, now: float, highest: int) -> int | None:
        best: tuple[float, int] | None = None
        for priority in range(highest + 1, len(self._queues)):
            waiting = self._queues[priority]
            if not waiting:
                continue
            since = next(iter(waiting.values()))
            if now - since >= self._aging_s and (best is None or since < best[0]):
                best = (since, priority)
        return best[1] if best else None

    def _pop_first(self, priority: int) -> Key:
        key, _ = self._queues[priority].popitem(last=False)
        return key
