from __future__ import annotations

import random

import testtools

from almondspool.coordination.configuration.configuration import (
    START_WAIT_S,
    Configuration,
)
from almondspool.coordination.configuration.readiness import CONFIRM_RETRY_S, Readiness
from almondspool.state.members import Member


class ReadyWithoutDocumentTests(testtools.TestCase):
    def test_instance_that_knows_of_no_document_is_ready_after_the_wait(self):
        configuration = Configuration("perth-1", random.Random(1), 0.0)
        self.assertFalse(configuration.is_ready(START_WAIT_S))
        configuration.on_platform_manifest_missing()
        self.assertFalse(configuration.is_ready(START_WAIT_S - 0.1))
        self.assertTrue(configuration.is_ready(START_WAIT_S))


class ReadyAmongPeersTests(testtools.TestCase):
    def is_ready(self, *peers, generation=3):
        return Readiness(0.0).is_ready(generation, peers, 1.0)

    def test_only_a_peer_that_serves_a_document_confirms(self):
        self.assertTrue(self.is_ready(make_peer(3, ready=True)))
        self.assertTrue(self.is_ready(make_peer(2, ready=True)))
        self.assertFalse(self.is_ready(make_peer(3, ready=False)))
        self.assertFalse(self.is_ready(make_peer(0, ready=True)))

    def test_peer_that_is_ahead_prevents_readiness(self):
        ahead, equal = make_peer(4, ready=False), make_peer(3, ready=True)
        self.assertFalse(self.is_ready(ahead, equal))

    def test_confirmed_generation_must_run_here(self):
        readiness = Readiness(0.0)
        readiness.record_confirmation(4, 0.0)
        self.assertFalse(readiness.is_ready(3, (), 1.0))
        self.assertTrue(readiness.is_ready(4, (), 1.0))

    def test_one_attempt_to_confirm_at_a_time(self):
        readiness = Readiness(0.0)
        self.assertFalse(readiness.start_confirming(0, (), 0.0))
        self.assertTrue(readiness.start_confirming(3, (), 0.0))
        self.assertFalse(readiness.start_confirming(3, (), 100.0))
        readiness.end_confirming(100.0)
        self.assertFalse(readiness.start_confirming(3, (), 100.0))
        self.assertTrue(readiness.start_confirming(3, (), 100.0 + CONFIRM_RETRY_S))


def make_peer(generation, *, ready):
    return Member(
        "perth-2", 1, "perth-south", "", "", generation=generation, ready=ready
    )
