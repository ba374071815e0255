from __future__ import annotations

import pathlib
import tempfile

import testtools

from almondspool.standins.link_cuts import Link, LinkCuts, links_between


class LinkCutsTests(testtools.TestCase):
    def make_cuts(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "cuts"
        return LinkCuts(path), LinkCuts(path)

    def test_reader_sees_each_change(self):
        writer, reader = self.make_cuts()
        self.assertFalse(reader.is_cut("a", "b"))
        writer.replace([Link("a", "b")])
        self.assertTrue(reader.is_cut("a", "b"))
        self.assertFalse(reader.is_cut("b", "a"))
        self.assertTrue(reader.is_cut_either_way("b", "a"))
        writer.replace([])
        self.assertFalse(reader.is_cut("a", "b"))

    def test_links_between_groups(self):
        one_way = links_between("ab", "b", both_ways=False)
        self.assertEqual({Link("a", "b")}, one_way)
        both = links_between("ab", "c")
        self.assertEqual({("a", "c"), ("b", "c"), ("c", "a"), ("c", "b")}, both)
