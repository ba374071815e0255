from __future__ import annotations

import testtools

from almondspool.codes import DESCRIPTION_BY_CODE, ResultCode, exit_code


class ResultCodeTests(testtools.TestCase):
    def test_every_code_has_a_description(self):
        self.assertEqual(set(ResultCode), set(DESCRIPTION_BY_CODE))

    def test_exit_codes_fit_eight_bits(self):
        for code in ResultCode:
            self.assertLess(exit_code(code), 126, code)
