"""Two faults at once, drawn by a fixed seed: every promise still holds."""

from __future__ import annotations

import contextlib
import functools
import itertools
import random
from typing import ClassVar
from unittest import mock

from almondspool.standins.faults import Fault, FaultKind
from tests.processes import caller
from tests.processes.caller import Load, make_booking, make_search
from tests.processes.checks import (
    duplicate_bookings,
    limit_violations,
    requests_run_despite_refusal,
    wrong_answers,
)
from tests.processes.generations import GenerationMonitor
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    accepted_digest,
    is_dead,
    operator_client,
    unexpected_answers,
    wait_until,
    wait_until_in_force,
    wait_until_none,
    with_snapshots,
)

SEED = 3
ANSWERS = 15
SEARCHERS = 3
BOOKERS = 2
DEADLINE_MS = 1500
SNAPSHOTS = 4
STRAGGLE_MS = 200.0
# A booking is resent through each outage, however long the machine takes for it.
PATIENCE_S = 120.0


class Strike:
    """One fault that is brought about and undone.

    Attributes:
        platform_faults: Switched on at the platform meanwhile.
        searcher_faults: Switched on at the searchers meanwhile.
    """

    platform_faults: tuple[Fault, ...] = ()
    searcher_faults: tuple[Fault, ...] = ()

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng

    def begin(self):
        """Bring it about."""

    def end(self):
        """Undo it."""

    def is_felt(self):
        """Return whether it has lasted long enough to matter."""
        return True


class InstanceStrike(Strike):
    """A fault of one instance, by its place among the names; each has its own."""

    index = 0

    @property
    def name(self):
        return list(self.cluster.instances_by_name)[self.index]

    def is_felt(self):
        return is_dead(self.cluster, self.name)


class Kill(InstanceStrike):
    index = 1

    def begin(self):
        self.cluster.kill(self.name)

    def end(self):
        self.cluster.restart(self.name)


class Freeze(InstanceStrike):
    index = 2

    def begin(self):
        self.cluster.freeze(self.name)

    def end(self):
        self.cluster.resume(self.name)


class Outage(Strike):
    platform_faults = (Fault(FaultKind.OUTAGE),)


class SilentConnections(Strike):
    searcher_faults = (Fault(FaultKind.SILENT_CONNECTION),)


class Straggle(Strike):
    searcher_faults = (
        Fault(FaultKind.STRAGGLE, delay_ms=STRAGGLE_MS, share=0.2, seed=SEED),
    )


class SearcherLost(Strike):
    def begin(self):
        searchers = sorted(self.cluster.deployment.searchers_by_id)
        self.upstream_id = self.rng.choice(searchers)
        self.cluster.kill_searcher(self.upstream_id)

    def end(self):
        self.cluster.restart_searcher(self.upstream_id)


class IndexSwap(Strike):
    """Offers the next snapshot once; the platform may be down."""

    numbers = itertools.count(2)

    def begin(self):
        newest = next(self.numbers)
        text = self.cluster.deployment.section_texts_by_team[TEAM]
        text = with_snapshots(text, (newest - 1, newest))
        client = operator_client(self.cluster)
        base = accepted_digest(client, TEAM)
        client.apply(TEAM, text.encode(), base, f"swap-{newest}")


STRIKES = (
    Kill,
    Freeze,
    Outage,
    SilentConnections,
    Straggle,
    SearcherLost,
    IndexSwap,
)


def draw_pairs(rng):
    """Return pairs of faults in which each fault is met at least once."""
    drawn = rng.sample(STRIKES, len(STRIKES))
    return list(itertools.zip_longest(drawn[::2], drawn[1::2], fillvalue=drawn[0]))


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def make_short_booking(number):
    return make_booking(f"{TEAM}-01/{number % 3}", deadline_ms=DEADLINE_MS)


def strike_pair(cluster, load, strikes):
    """Bring about two faults under load, undo them, and let the load go on."""
    platform_faults = [each for strike in strikes for each in strike.platform_faults]
    searcher_faults = [each for strike in strikes for each in strike.searcher_faults]
    for strike in strikes:
        strike.begin()
    cluster.platform.set_faults(platform_faults)
    cluster.searcher_controls()[0].set_faults(searcher_faults)
    load.wait_for_more(ANSWERS)
    wait_until(lambda: all(each.is_felt() for each in strikes), "faults are felt")
    cluster.platform.clear_faults()
    cluster.searcher_controls()[0].clear_faults()
    for strike in reversed(strikes):
        strike.end()
    load.wait_for_more(ANSWERS)


class FaultPairTests(ClusterTestCase):
    initial_snapshots = (1,)
    options: ClassVar = {"snapshots": SNAPSHOTS}
    # Lost searchers cut requests off, which counts as crashes.
    settings: ClassVar = {"quarantine_s": 0.5}

    def test_promises_hold_under_pairs_of_faults(self):
        rng = random.Random(SEED)
        with contextlib.ExitStack() as stack:
            stack.enter_context(mock.patch.object(caller, "SEND_TIMEOUT_S", PATIENCE_S))
            monitor = stack.enter_context(GenerationMonitor(self.cluster))
            searches = stack.enter_context(
                Load(self.cluster, make_short_search, SEARCHERS)
            )
            bookings = stack.enter_context(
                Load(self.cluster, make_short_booking, BOOKERS)
            )
            for pair in draw_pairs(rng):
                strikes = [strike(self.cluster, rng) for strike in pair]
                with self.subTest(pair=[strike.__name__ for strike in pair]):
                    strike_pair(self.cluster, searches, strikes)
            wait_until_in_force(self.cluster)
            wait_until_none(
                lambda: unexpected_answers(self.cluster), "answers are whole again"
            )
        self.assertEqual([], wrong_answers(self.cluster, searches.attempts))
        self.assertEqual([], duplicate_bookings(self.cluster))
        self.assertEqual(
            [], requests_run_despite_refusal(self.cluster, bookings.all_attempts())
        )
        self.assertEqual([], limit_violations(self.cluster))
        self.assertEqual([], monitor.regressions)
        self.assertGreater(len(bookings.attempts), 0)
