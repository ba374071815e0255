from __future__ import annotations

import random

import testtools

from almondspool.coordination.configuration import START_WAIT_S, Configuration


class ReadyWithoutDocumentTests(testtools.TestCase):
    def test_instance_that_knows_of_no_document_is_ready_after_the_wait(self):
        configuration = Configuration("perth-1", random.Random(1), 0.0)
        self.assertFalse(configuration.is_ready(START_WAIT_S))
        configuration.on_platform_without_manifest()
        self.assertFalse(configuration.is_ready(START_WAIT_S - 0.1))
        self.assertTrue(configuration.is_ready(START_WAIT_S))
