from __future__ import annotations

import testtools

from almondspool.codes import ResultCode
from tests.coordination.search_bench import (
    SearchBench,
)
from tests.golden_session import verify_session


class SearchStoryTests(testtools.TestCase):
    def test_all_well(self):
        bench = SearchBench()
        answer = bench.run()
        self.assertEqual(ResultCode.OK, answer.code)
        self.assertEqual(7, answer.snapshot)
        self.assertEqual(2, answer.coverage.answered)
        verify_session("search_all_well", bench.lines)
