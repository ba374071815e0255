from __future__ import annotations

import testtools
from hypothesis import given, strategies

from almondspool.routing.merge import RECORD_BYTES, merge_top_k


def record(number):
    return number.to_bytes(RECORD_BYTES, "big")


class MergeTests(testtools.TestCase):
    def test_greatest_records_of_all_parts_come_first(self):
        parts = [record(3) + record(9), record(7), record(1) + record(8)]
        expected = record(9) + record(8) + record(7)
        self.assertEqual(expected, merge_top_k(parts, 3))

    def test_duplicate_records_are_kept(self):
        merged = merge_top_k([record(4) + record(4), record(4)], 5)
        self.assertEqual(record(4) * 3, merged)

    def test_incomplete_record_is_ignored(self):
        merged = merge_top_k([record(2) + b"\xff" * 15, b"\xff" * 3], 5)
        self.assertEqual(record(2), merged)

    def test_no_parts(self):
        self.assertEqual(b"", merge_top_k([], 5))

    @given(strategies.lists(strategies.binary(max_size=80)), strategies.integers(0, 9))
    def test_same_as_sorting_all_records(self, parts, top_k):
        records = []
        for part in parts:
            whole = len(part) // RECORD_BYTES
            for index in range(whole):
                records.append(part[index * RECORD_BYTES : (index + 1) * RECORD_BYTES])
        expected = b"".join(sorted(records, reverse=True)[:top_k])
        self.assertEqual(expected, merge_top_k(parts, top_k))
