from __future__ import annotations

import eventlet
import testtools

from almondspool.protocol.platform import MAX_VALUE_BYTES
from almondspool.standins.object_store import (
    HistoryGoneError,
    ObjectStore,
    ValueTooLargeError,
    VersionConflictError,
)


class ObjectStoreTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = ObjectStore(history_limit=4)

    def conflicting_version(self, *arguments: object) -> int:
        error = self.assertRaises(VersionConflictError, self.store.put, *arguments)
        return error.current

    def test_conditional_writes(self):
        first = self.store.put("section", "a", b"1", 0)
        self.assertEqual(
            first.version, self.conflicting_version("section", "a", b"x", 0)
        )
        self.assertEqual(0, self.conflicting_version("section", "b", b"x", 5))
        second = self.store.put("section", "a", b"2", first.version)
        self.assertEqual(b"2", self.store.get("section", "a").value)
        self.assertTrue(second.version > first.version)

    def test_versions_are_shared_by_all_kinds(self):
        versions = [
            self.store.put(kind, "a", b"", 0).version for kind in ("section", "claim")
        ]
        self.assertEqual([1, 2], versions)

    def test_value_size_is_bounded(self):
        self.store.put("section", "a", b"x" * MAX_VALUE_BYTES, 0)
        too_large = b"x" * (MAX_VALUE_BYTES + 1)
        put = self.store.put
        self.assertRaises(ValueTooLargeError, put, "section", "b", too_large, 0)

    def test_delete_requires_the_current_version(self):
        version = self.store.put("section", "a", b"1", 0).version
        delete = self.store.delete
        self.assertRaises(VersionConflictError, delete, "section", "a", version + 1)
        self.assertTrue(delete("section", "a", version))
        self.assertFalse(delete("section", "a", version))

    def test_watch_returns_changes_in_order_and_skips_other_kinds(self):
        version = self.store.put("section", "a", b"1", 0).version
        self.store.put("claim", "c", b"", 0)
        self.store.delete("section", "a", version)
        events = self.store.watch("section", 0, 0)
        self.assertEqual(
            [(1, False), (3, True)], [(e.version, e.deleted) for e in events]
        )

    def test_waiting_watch_wakes_on_a_write(self):
        watching = eventlet.spawn(self.store.watch, "section", 0, 10.0)
        eventlet.sleep(0)
        self.store.put("claim", "c", b"", 0)
        self.store.put("section", "a", b"1", 0)
        self.assertEqual(["a"], [event.name for event in watching.wait()])

    def test_watch_before_the_retained_history_fails(self):
        for number in range(6):
            self.store.put("claim", str(number), b"", 0)
        self.assertRaises(HistoryGoneError, self.store.watch, "claim", 1, 0)
        self.assertEqual(4, len(self.store.watch("claim", 2, 0)))

    def test_read_as_of_a_version(self):
        version = self.store.put("section", "a", b"1", 0).version
        self.store.put("section", "a", b"2", version)
        self.store.put("section", "b", b"3", 0)
        self.assertEqual(b"1", self.store.get("section", "a", version).value)
        self.assertEqual(1, len(self.store.list("section", version)))
