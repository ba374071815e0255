from __future__ import annotations

import testtools

from tools.make_tables import DOCS_DIR, PAGE_GENERATOR_BY_NAME


class GeneratedPagesTests(testtools.TestCase):
    def test_pages_match_the_code(self):
        for name, generate_page in PAGE_GENERATOR_BY_NAME.items():
            self.assertEqual(generate_page(), (DOCS_DIR / name).read_text(), name)
