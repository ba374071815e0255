from __future__ import annotations

import testtools

from tools.make_tables import DOCS_DIR, PAGE_MAKER_BY_NAME


class MadePagesTests(testtools.TestCase):
    def test_pages_agree_with_the_code(self):
        for name, make_page in PAGE_MAKER_BY_NAME.items():
            self.assertEqual(make_page(), (DOCS_DIR / name).read_text(), name)
