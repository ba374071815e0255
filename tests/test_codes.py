from __future__ import annotations

import testtools

from almondspool.codes import DESCRIPTION_BY_CODE, ResultCode, exit_code


class ResultCodeTests(testtools.TestCase):
    def test_every_code_has_a_description(self):
        self.assertEqual(set(ResultCode), set(DESCRIPTION_BY_CODE))

    def test_exit_codes_are_below_those_reserved_by_shells(self):
        # Shells use 126 and above for commands that cannot run or end by a signal.
        for code in ResultCode:
            self.assertLess(exit_code(code), 126, code)
