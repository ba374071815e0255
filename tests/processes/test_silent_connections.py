"""Tests that connections without replies reduce coverage only for a short time."""

from __future__ import annotations

import functools

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Load, make_search
from tests.processes.checks import searchers_without_legs, wrong_answers
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    wait_until,
    wait_until_none,
)

DEADLINE_MS = 800
ANSWERS_PER_PHASE = 40
COMPLETE_ANSWERS_IN_A_ROW = 30


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def are_complete(load):
    """Wait for more answers; return whether all of the last ones are complete."""
    load.wait_for_more(ANSWERS_PER_PHASE)
    return all(
        attempt.code == 0
        for attempt in load.final_attempts[-COMPLETE_ANSWERS_IN_A_ROW:]
    )


class SilentConnectionTests(ClusterTestCase):
    def test_answers_become_complete_and_every_searcher_is_used(self):
        control = self.cluster.searcher_controls()[0]
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
            control.set_faults([Fault(FaultKind.SILENT_CONNECTION)])
            wait_until(lambda: are_complete(load), "answers are complete again")
            control.clear_journal()
            wait_until_none(
                lambda: searchers_without_legs(self.cluster, TEAM),
                "every searcher gets work",
            )
        self.assertEqual([], wrong_answers(self.cluster, load.final_attempts))


class SilenceUnseenTests(ClusterTestCase):
    variant = "silence_unseen"

    def test_lasting_loss_of_coverage_is_found(self):
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
            fault = Fault(FaultKind.SILENT_CONNECTION)
            self.cluster.searcher_controls()[0].set_faults([fault])
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.assertFalse(are_complete(load))
