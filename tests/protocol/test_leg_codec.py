from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.protocol import leg_codec
from almondspool.protocol.leg_codec import ReplyReader
from almondspool.protocol.upstream import LoadReport
from tests.protocol.raw_server import make_leg, result_line

LEG_IDS = ("a", "b", "c")
LINES = st.sampled_from(
    [result_line(leg_id) for leg_id in (*LEG_IDS, "z")]
    + [
        result_line("a", snapshot=8),
        result_line("b", shard="s2"),
        result_line("c", status="shed"),
    ]
    + [b"\n", b"null\n", b"[]\n", b'{"leg_id":1}\n', b"\xff\xfe\n"]
)


class ReplyReaderTests(testtools.TestCase):
    def read(self, data, sizes):
        reader = ReplyReader("u1", tuple(map(make_leg, LEG_IDS)))
        results = []
        while data and not reader.size_error():
            size = sizes[len(results) % len(sizes)]
            results.extend(reader.feed(data[:size]))
            data = data[size:]
        results.extend(reader.finish())
        return results

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.lists(LINES, max_size=12),
        st.lists(st.integers(1, 400), min_size=1, max_size=5),
        st.integers(0, 2000),
        st.integers(0, 255),
    )
    def test_any_reply_yields_one_matching_result_per_leg(self, lines, sizes, at, byte):
        reply = bytearray(b"".join(lines))
        if at < len(reply):
            reply[at] = byte
        results = self.read(bytes(reply), sizes)
        self.assertEqual(sorted(LEG_IDS), sorted(item.leg_id for item in results))
        for item in results:
            if item.code is ResultCode.OK:
                self.assertEqual((7, "s1"), (item.snapshot, item.shard))
            else:
                self.assertEqual((), item.records)

    def test_reply_in_pieces_is_decoded_like_a_complete_one(self):
        data = b"".join(map(result_line, LEG_IDS))
        for size in (1, 7, len(data)):
            codes = [item.code for item in self.read(data, [size])]
            self.assertEqual([ResultCode.OK] * 3, codes)

    def test_result_contains_the_load_report_of_its_line(self):
        report = b'"load":{"running":2,"queued":1,"draining":true,"warmth":0.5}}'
        data = (
            result_line("a")[:-2]
            + b","
            + report
            + b"\n"
            + result_line("b")
            + result_line("c")
        )
        loads = [item.load for item in self.read(data, [64])]
        self.assertEqual([LoadReport(2, 1, True, 0.5), None, None], loads)

    def test_malformed_load_reports_are_none(self):
        for body in (b"", b"{}", b'{"running":"x","queued":1}', b"\xff"):
            self.assertIsNone(leg_codec.decode_load(body))
