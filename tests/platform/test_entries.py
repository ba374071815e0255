from __future__ import annotations

import testtools

from almondspool.errors import UpstreamError
from almondspool.platform.entries import decode_entry

ENTRY_SPEC = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "perth-north",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 2500,
    "seq_no": 4,
    "born": 1774987670000,
}


class EntryTests(testtools.TestCase):
    def test_fields_are_decoded(self):
        replica = decode_entry("i-1", ENTRY_SPEC)
        self.assertEqual("10.128.0.9:8080", replica.address)
        self.assertEqual(
            (2, 2.5, False), (replica.slots, replica.warmup_s, replica.is_draining)
        )
        self.assertEqual(1774987670000, replica.started_ms)
        self.assertTrue(
            decode_entry("i-1", {**ENTRY_SPEC, "state": "draining"}).is_draining
        )

    def test_entry_without_a_start_time(self):
        spec = {key: value for key, value in ENTRY_SPEC.items() if key != "born"}
        self.assertEqual(0, decode_entry("i-1", spec).started_ms)

    def test_malformed_entries_are_rejected(self):
        for change in (
            {"service": None},
            {"service": ""},
            {"service": 7},
            {"address": "host:80"},
            {"address": "10.0.0.1"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:99999"},
            {"address": ["10.0.0.1:80"]},
            {"slots": "2"},
            {"slots": True},
            {"slots": 0},
            {"slots": float("nan")},
            {"state": "resting"},
            {"state": ["ready"]},
            {"zone": None},
            {"warmup_left_ms": -1},
        ):
            self.assertRaises(
                UpstreamError, decode_entry, "i-1", {**ENTRY_SPEC, **change}
            )
        for spec in (None, [], "text", 5, {}):
            self.assertRaises(UpstreamError, decode_entry, "i-1", spec)
