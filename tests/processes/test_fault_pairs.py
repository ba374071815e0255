"""Tests that every guarantee holds under pairs of faults, drawn with a fixed seed."""

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

# Seed of the pairs, of the searchers to kill and of the delayed replies.
SEED = 3
ANSWERS_PER_PHASE = 15
SEARCH_CALLERS = 3
BOOKING_CALLERS = 2
DEADLINE_MS = 1500
SNAPSHOTS = 4
STRAGGLE_MS = 200.0
# Bookings are resent during each outage, which can last long on a slow machine.
SEND_TIMEOUT_S = 120.0


class Injection:
    """One fault that can be started and ended.

    Attributes:
        platform_faults: Faults of the platform between begin and end.
        searcher_faults: Faults of the searchers between begin and end.
    """

    platform_faults: tuple[Fault, ...] = ()
    searcher_faults: tuple[Fault, ...] = ()

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng

    def begin(self):
        """Start the fault."""

    def end(self):
        """End the fault."""

    def has_taken_effect(self):
        """Return whether the fault has lasted long enough to have an effect."""
        return True


class InstanceInjection(Injection):
    """A fault of one instance.

    Attributes:
        instance_index: Index of the instance; each subclass has its own, so that paired
            faults affect different instances.
    """

    instance_index = 0

    @property
    def name(self):
        return list(self.cluster.instances_by_name)[self.instance_index]

    def has_taken_effect(self):
        return is_dead(self.cluster, self.name)


class Kill(InstanceInjection):
    instance_index = 1

    def begin(self):
        self.cluster.kill(self.name)

    def end(self):
        self.cluster.restart(self.name)


class Freeze(InstanceInjection):
    instance_index = 2

    def begin(self):
        self.cluster.freeze(self.name)

    def end(self):
        self.cluster.resume(self.name)


class PlatformOutage(Injection):
    platform_faults = (Fault(FaultKind.OUTAGE),)


class SilentConnections(Injection):
    searcher_faults = (Fault(FaultKind.SILENT_CONNECTION),)


class Straggle(Injection):
    searcher_faults = (
        Fault(FaultKind.STRAGGLE, delay_ms=STRAGGLE_MS, share=0.2, seed=SEED),
    )


class KillSearcher(Injection):
    def begin(self):
        searchers = sorted(self.cluster.deployment.searchers_by_id)
        self.upstream_id = self.rng.choice(searchers)
        self.cluster.kill_searcher(self.upstream_id)

    def end(self):
        self.cluster.restart_searcher(self.upstream_id)


class SnapshotChange(Injection):
    """Applies the next snapshot, once; this fails during a platform outage."""

    numbers = itertools.count(2)

    def begin(self):
        newest = next(self.numbers)
        text = self.cluster.deployment.section_texts_by_team[TEAM]
        text = with_snapshots(text, (newest - 1, newest))
        client = operator_client(self.cluster)
        base = accepted_digest(client, TEAM)
        client.apply_section(TEAM, text.encode(), base, f"swap-{newest}")


INJECTION_CLASSES = (
    Kill,
    Freeze,
    PlatformOutage,
    SilentConnections,
    Straggle,
    KillSearcher,
    SnapshotChange,
)


def draw_pairs(rng):
    """Return pairs of faults that include each fault at least once."""
    drawn = rng.sample(INJECTION_CLASSES, len(INJECTION_CLASSES))
    return list(itertools.zip_longest(drawn[::2], drawn[1::2], fillvalue=drawn[0]))


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def make_short_booking(number):
    return make_booking(f"{TEAM}-01/{number % 3}", deadline_ms=DEADLINE_MS)


def inject_pair(cluster, load, injections):
    """Start two faults under load, end them, and continue the load."""
    platform_faults = [
        fault for injection in injections for fault in injection.platform_faults
    ]
    searcher_faults = [
        fault for injection in injections for fault in injection.searcher_faults
    ]
    for injection in injections:
        injection.begin()
    cluster.platform.set_faults(platform_faults)
    cluster.searcher_controls()[0].set_faults(searcher_faults)
    load.wait_for_more(ANSWERS_PER_PHASE)
    wait_until(
        lambda: all(injection.has_taken_effect() for injection in injections),
        "the faults have taken effect",
    )
    cluster.platform.clear_faults()
    cluster.searcher_controls()[0].clear_faults()
    for injection in reversed(injections):
        injection.end()
    load.wait_for_more(ANSWERS_PER_PHASE)


class FaultPairTests(ClusterTestCase):
    initial_snapshots = (1,)
    cluster_options: ClassVar = {"snapshots": SNAPSHOTS}
    # Short, since a request that a killed searcher leaves unanswered counts as a crash
    # and can be quarantined.
    settings: ClassVar = {"quarantine_s": 0.5}

    def test_guarantees_hold_under_pairs_of_faults(self):
        rng = random.Random(SEED)
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                mock.patch.object(caller, "SEND_TIMEOUT_S", SEND_TIMEOUT_S)
            )
            monitor = stack.enter_context(GenerationMonitor(self.cluster))
            searches = stack.enter_context(
                Load(self.cluster, make_short_search, SEARCH_CALLERS)
            )
            bookings = stack.enter_context(
                Load(self.cluster, make_short_booking, BOOKING_CALLERS)
            )
            for pair in draw_pairs(rng):
                injections = [
                    injection_class(self.cluster, rng) for injection_class in pair
                ]
                with self.subTest(
                    pair=[injection_class.__name__ for injection_class in pair]
                ):
                    inject_pair(self.cluster, searches, injections)
            wait_until_in_force(self.cluster)
            wait_until_none(
                lambda: unexpected_answers(self.cluster), "answers are complete again"
            )
        self.assertEqual([], wrong_answers(self.cluster, searches.final_attempts))
        self.assertEqual([], duplicate_bookings(self.cluster))
        self.assertEqual(
            [], requests_run_despite_refusal(self.cluster, bookings.all_attempts())
        )
        self.assertEqual([], limit_violations(self.cluster))
        self.assertEqual([], monitor.regressions)
        self.assertGreater(len(bookings.final_attempts), 0)
