"""Tests that each caller gets the complete answer to its own request."""

from __future__ import annotations

from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import Load
from tests.processes.checks import wrong_answers
from tests.processes.support import ClusterTestCase, wait_until

CALLER_COUNT = 8
ANSWER_COUNT = 150


def search_concurrently(cluster):
    """Search concurrently while searchers repeat, misassign and delay replies.

    Returns:
        The final attempts; successive searches have different queries.
    """
    faults = [
        Fault(FaultKind.DOUBLED, share=0.5),
        Fault(FaultKind.WRONG_REQUEST, share=0.05, seed=3),
        Fault(FaultKind.STRAGGLE, share=0.3, delay_ms=30.0, seed=2),
    ]
    cluster.searcher_controls()[0].set_faults(faults)
    with Load(cluster, caller_count=CALLER_COUNT) as load:
        wait_until(
            lambda: load.count_answers() >= ANSWER_COUNT,
            f"{ANSWER_COUNT} answers have arrived",
        )
    return load.final_attempts


class OwnAnswerTests(ClusterTestCase):
    def test_each_caller_gets_its_own_answer(self):
        attempts = search_concurrently(self.cluster)
        self.assertEqual([], wrong_answers(self.cluster, attempts))


class MisroutedResultsTests(ClusterTestCase):
    variant = "misrouted_results"

    def test_answers_to_others_are_found(self):
        attempts = search_concurrently(self.cluster)
        self.assertNotEqual([], wrong_answers(self.cluster, attempts))
