from __future__ import annotations

import msgspec
import testtools

from almondspool.errors import PlatformError, UpstreamError
from almondspool.platform.entries import decode_entry
from almondspool.platform.mirror import KindMirror
from almondspool.platform.store import StoredList, StoredObject, decode_reply
from almondspool.transport.timers import VirtualTimers
from tests.platform.test_entries import ENTRY_SPEC

GOOD = msgspec.json.encode({"meta": {"name": "i-good"}, "spec": ENTRY_SPEC})
# JSON texts that other programs may write, and that the decoder rejects.
UNREADABLE = {
    "nested arrays": b"[" * 5000 + b"]" * 5000,
    "nested objects": b'{"a":' * 2000 + b"1" + b"}" * 2000,
    "lone surrogate": rb'"\ud800"',
    "number out of range": b"1e400",
    "number of 5,000 digits": b"9" * 5000,
    "bytes that are no text": b'"\xff"',
    "brackets in an unreadable text": rb'"]}{[\"\ud800"',
}


def odd_object(value, name=b'"i-odd"'):
    return b'{"meta":{"revision":7,"name":%s},"spec":{"a":%s}}' % (name, value)


class UnreadableObjectTests(testtools.TestCase):
    def decode(self, body, items_key="items"):
        return decode_reply("GET /servers", 200, {}, body, items_key)

    def test_one_unreadable_entry_does_not_hide_the_others_of_a_list(self):
        for case, value in UNREADABLE.items():
            body = b'{"items":[%s,%s,%s],"current_rev":9,"has_more":false}'
            reply = self.decode(body % (GOOD, odd_object(value), GOOD))
            self.assertEqual(9, reply["current_rev"], case)
            specs = [item["spec"] for item in reply["items"]]
            self.assertEqual([ENTRY_SPEC, None, ENTRY_SPEC], specs, case)
            self.assertEqual("i-odd", reply["items"][1]["meta"]["name"], case)

    def test_one_unreadable_entry_does_not_hide_the_other_changes_of_a_watch(self):
        for case, value in UNREADABLE.items():
            event = b'{"object":%s,"tombstone":false}'
            events = [event % GOOD, event % odd_object(value)]
            body = b'{"current_rev":9,"events":[%s]}' % b",".join(events)
            decoded = self.decode(body, "events")["events"]
            self.assertEqual("i-good", decoded[0]["object"]["meta"]["name"], case)
            self.assertEqual("i-odd", decoded[1]["object"]["meta"]["name"], case)
            self.assertIsNone(decoded[1]["object"]["spec"], case)

    def test_name_that_cannot_be_read_is_empty(self):
        body = b'{"items":[%s,%s],"current_rev":9}'
        reply = self.decode(body % (odd_object(b"1", rb'"\ud800"'), GOOD))
        names = [item["meta"]["name"] for item in reply["items"]]
        self.assertEqual(["", "i-good"], names)

    def test_reply_that_is_cut_off_or_unreadable_elsewhere_is_an_error(self):
        whole = b'{"items":[%s,%s],"current_rev":9}' % (odd_object(b"1e400"), GOOD)
        for end in range(len(whole)):
            self.assertRaises(PlatformError, self.decode, whole[:end] or b"[")
        for body in (b"[" * 5000, b'{"current_rev":1e400,"items":[{}]}'):
            self.assertRaises(PlatformError, self.decode, body)

    def test_unreadable_part_beside_the_list_is_an_error(self):
        for body in (
            b'{"meta":{"name":"i-1","more":{"a":1}},"spec":{"a":{"b":1e400}}}',
            b'{"other":[%s],"items":[],"current_rev":9}' % odd_object(b"1e400"),
        ):
            self.assertRaises(PlatformError, self.decode, body)

    def test_object_that_cannot_be_encoded_does_not_hide_the_others_of_a_mirror(self):
        nested = []
        for _ in range(5000):
            nested = [nested]
        mirror = KindMirror(VirtualTimers())
        mirror.replace_all(
            StoredList(
                (
                    StoredObject("servers", "i-odd", 1, nested),
                    StoredObject("servers", "i-good", 2, ENTRY_SPEC),
                ),
                9,
            )
        )
        mirror.set_fresh(True)
        items = msgspec.json.decode(mirror.list().body)["items"]
        self.assertEqual([None, ENTRY_SPEC], [item["spec"] for item in items])


class OddEntryTests(testtools.TestCase):
    def test_entries_with_values_out_of_range_are_refused(self):
        for change in (
            {"warmup_left_ms": 10**400},
            {"warmup_left_ms": 1e300},
            {"slots": 1e300},
            {"slots": 10**400},
            {"born": 1e300},
            {"address": "10.0.0.1:²"},
            {"address": "10.0.0.1:٣"},
            {"address": "999.0.0.1:80"},
            {"address": "1.2.3.²:80"},
            {"address": "10.0.0.1:0080000"},
        ):
            spec = {**ENTRY_SPEC, **change}
            self.assertRaises(UpstreamError, decode_entry, "i-1", spec)

    def test_nested_values_are_refused(self):
        nested = []
        for _ in range(5000):
            nested = [nested]
        for key in ENTRY_SPEC:
            if key not in ("version", "seq_no"):
                spec = {**ENTRY_SPEC, key: nested}
                self.assertRaises(UpstreamError, decode_entry, "i-1", spec)

    def test_id_that_cannot_be_sent_in_a_header_is_refused(self):
        for replica_id in ("", "i 1", "i-1\r\nHost: x", "i-\u0661", "i-\u00e9"):
            self.assertRaises(UpstreamError, decode_entry, replica_id, ENTRY_SPEC)
