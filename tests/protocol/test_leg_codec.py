from __future__ import annotations

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.protocol import leg_codec
from almondspool.protocol.leg_codec import ReplyReader
from almondspool.protocol.upstream import LoadReport
from tests.protocol.raw_server import line, make_leg

LEG_IDS = ("a", "b", "c")
LINES = st.sampled_from(
    [line(leg_id) for leg_id in (*LEG_IDS, "z")]
    + [line("a", snapshot=8), line("b", shard="s2"), line("c", status="shed")]
    + [b"\n", b"null\n", b"[]\n", b'{"leg_id":1}\n', b"\xff\xfe\n"]
)


class ReplyReaderTests(testtools.TestCase):
    def read(self, data, sizes):
        reader = ReplyReader("u1", tuple(map(make_leg, LEG_IDS)))
        results = []
        while data and not reader.oversized():
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
    def test_any_reply_gives_each_leg_one_true_result(self, lines, sizes, at, byte):
        whole = bytearray(b"".join(lines))
        if at < len(whole):
            whole[at] = byte
        results = self.read(bytes(whole), sizes)
        self.assertEqual(sorted(LEG_IDS), sorted(item.leg_id for item in results))
        for item in results:
            if item.code is ResultCode.OK:
                self.assertEqual((7, "s1"), (item.snapshot, item.shard))
            else:
                self.assertEqual((), item.records)

    def test_a_reply_in_pieces_is_read_as_a_whole_one(self):
        data = b"".join(map(line, LEG_IDS))
        for size in (1, 7, len(data)):
            codes = [item.code for item in self.read(data, [size])]
            self.assertEqual([ResultCode.OK] * 3, codes)

    def test_a_result_brings_the_report_of_its_line(self):
        report = b'"load":{"running":2,"queued":1,"draining":true,"warmth":0.5}}'
        data = line("a")[:-2] + b"," + report + b"\n" + line("b") + line("c")
        loads = [item.load for item in self.read(data, [64])]
        self.assertEqual([LoadReport(2, 1, True, 0.5), None, None], loads)

    def test_malformed_load_reports_are_none(self):
        for body in (b"", b"{}", b'{"running":"x","queued":1}', b"\xff"):
            self.assertIsNone(leg_codec.decode_load(body))
