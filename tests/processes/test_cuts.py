"""Tests of instances whose links to each other or to the platform are cut."""

from __future__ import annotations

import functools
from typing import ClassVar

from almondspool.protocol.http_platform import make_http_platform
from almondspool.protocol.manifest import MANIFEST_KIND, SECTION_KIND
from almondspool.standins.faults import Fault, FaultKind
from almondspool.standins.launcher import PLATFORM
from tests.processes.caller import (
    Load,
    make_booking,
    make_search,
    post,
    post_concurrently,
)
from tests.processes.checks import (
    duplicate_bookings,
    limit_violations,
    requests_run_despite_refusal,
    wrong_answers,
)
from tests.processes.generations import GenerationMonitor, edited_section
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    apply_section,
    generations_by_name,
    read_log,
    statuses_by_name,
    unexpected_answers,
    wait_until,
    wait_until_in_force,
    wait_until_none,
)
from tests.processes.test_connection_limits import (
    CALLER_COUNT,
    LEG_DELAY_MS,
    TightLimitTestCase,
    are_dead,
)

ANSWERS_PER_PHASE = 25
BOOKING_COUNT = 6
SEARCH_COUNT = 4
# Failed attempts to confirm the document after which an instance counts as refusing.
MIN_UNCONFIRMED_ATTEMPTS = 2
PLATFORM_TIMEOUT_S = 5.0
DEADLINE_MS = 1000
SHARDS = tuple(f"{TEAM}-0{service}/0" for service in (1, 2))


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def are_all_alive(cluster):
    """Return whether each instance considers all instances alive."""
    found = statuses_by_name(cluster).values()
    seen = [member["status"] for status in found for member in status["members"]]
    return seen == ["alive"] * len(cluster.instances_by_name) ** 2


def searcher_ids_in(cluster, zone):
    """Return the ids of the searchers in an availability zone."""
    searchers = cluster.deployment.searchers_by_id.values()
    return [searcher.upstream_id for searcher in searchers if searcher.zone == zone]


class LinkTestCase(ClusterTestCase):
    daemon_module = "almondspool.standins.links"
    cluster_options: ClassVar[dict[str, object]] = {"can_cut_links": True}

    def setUp(self):
        super().setUp()
        self.names = tuple(self.cluster.instances_by_name)
        self.generation = wait_until_in_force(self.cluster)
        self.monitor = self.enterContext(GenerationMonitor(self.cluster))
        self.addCleanup(self.assert_invariants)

    def tearDown(self):
        self.cluster.heal()
        super().tearDown()

    def assert_invariants(self):
        """Check the invariants that hold during every cut."""
        self.assertEqual([], self.monitor.regressions)
        self.assertEqual([], limit_violations(self.cluster))
        self.assertEqual([], duplicate_bookings(self.cluster))

    def assert_correct(self, load, attempts):
        """Check the answers to a load and to requests sent to specific instances."""
        searches = [each for each in attempts if each.request.get("idempotent", True)]
        answered = [*load.final_attempts, *searches]
        self.assertEqual([], wrong_answers(self.cluster, answered))
        self.assertEqual([], requests_run_despite_refusal(self.cluster, attempts))

    def heal_and_wait(self):
        self.cluster.heal()
        wait_until(
            lambda: are_all_alive(self.cluster), "every instance considers all alive"
        )
        wait_until_none(
            lambda: unexpected_answers(self.cluster), "answers are complete again"
        )

    def restart_without_peers(self):
        """Restart an instance without peers while platform reads lack a new section.

        Returns:
            The generation of the section.
        """
        platform = make_http_platform(self.cluster.platform_address, PLATFORM_TIMEOUT_S)
        stale_version = platform.list(MANIFEST_KIND).unwrap().version
        generation = apply_section(self.cluster, TEAM, edited_section(self.cluster))[
            "generation"
        ]
        wait_until_in_force(self.cluster, generation)
        self.monitor.wait_for(generation)
        restart_cut_off_under_stale_reads(self.cluster, self.names[0], stale_version)
        return generation


class LinkTests(LinkTestCase):
    def test_one_way_cut_between_two_instances(self):
        first, second, _ = self.names
        for sender, receiver in ((first, second), (second, first)):
            self.cut_one_way(sender, receiver)

    def cut_one_way(self, sender, receiver):
        """Cut one direction between two instances and send bookings to both."""
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.cluster.cut([sender], [receiver], both_ways=False)
            attempts = book_on_both_sides(self.cluster, sender, receiver)
            wait_until_none(
                lambda: unexpected_answers(self.cluster),
                "answers are complete during the cut",
            )
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.heal_and_wait()
            load.wait_for_more(ANSWERS_PER_PHASE)
        self.assert_correct(load, attempts)
        self.assertNotEqual(set(), self.booked_ids(attempts))

    def booked_ids(self, attempts):
        """Return the ids of the bookings that took effect."""
        ran = self.cluster.bookings_by_request_id().keys()
        return ran & {each.request["request_id"] for each in attempts}

    def test_one_way_cut_from_the_platform(self):
        for is_reply_lost in (False, True):
            self.cut_platform_one_way(self.names[0], is_reply_lost)

    def cut_platform_one_way(self, name, is_reply_lost):
        """Cut one direction between an instance and the platform, then book and apply.

        Args:
            name: The instance.
            is_reply_lost: Whether the platform's replies are lost, else the requests.
        """
        directions = ([PLATFORM], [name]) if is_reply_lost else ([name], [PLATFORM])
        others = [other for other in self.names if other != name]
        with Load(self.cluster, make_short_search) as load:
            self.cluster.cut(*directions, both_ways=False)
            attempts = book_on_both_sides(self.cluster, name, others[0])
            text = edited_section(self.cluster)
            generation = apply_section(self.cluster, TEAM, text, *others)["generation"]
            wait_until_in_force(self.cluster, generation)
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.heal_and_wait()
        self.assert_correct(load, attempts)

    def test_restart_without_peers_under_stale_reads(self):
        generation = self.restart_without_peers()
        address = self.cluster.instances_by_name[self.names[0]].caller_address
        self.assertTrue(post(address, make_search(0)).says_not_run())
        self.cluster.platform.clear_faults()
        self.cluster.wait_ready(self.names[0])
        self.assertEqual(generation, generations_by_name(self.cluster)[self.names[0]])
        self.heal_and_wait()


def book_on_both_sides(cluster, *names):
    """Send each booking to several instances concurrently; return the attempts."""
    addresses = [cluster.instances_by_name[name].caller_address for name in names]
    bookings = [make_booking(SHARDS[number % 2]) for number in range(BOOKING_COUNT)]
    return post_concurrently(addresses, bookings)


class ZoneTestCase(LinkTestCase, TightLimitTestCase):
    instance_count = 5

    def setUp(self):
        super().setUp()
        zone = self.cluster.instances_by_name[self.names[0]].zone
        self.zone = zone
        self.cut_off_names = [name for name in self.names if name.startswith(zone)]
        self.others = [name for name in self.names if name not in self.cut_off_names]

    def cut_zone(self, *others, faults=()):
        """Cut a zone's instances off from all others and freeze its searchers.

        Args:
            others: Further names to cut the instances off from.
            faults: Faults of the searchers in addition to the freezes.
        """
        freezes = [
            Fault(FaultKind.FREEZE, upstream_id)
            for upstream_id in searcher_ids_in(self.cluster, self.zone)
        ]
        self.cluster.searcher_controls()[0].set_faults([*freezes, *faults])
        self.cluster.cut(self.cut_off_names, [*self.others, *others])

    def wait_until_dead(self):
        for names, survivors in (
            (self.cut_off_names, self.others),
            (self.others, self.cut_off_names),
        ):
            wait_until(
                lambda n=names, s=survivors: are_dead(self.cluster, n, s),
                "each side considers the other dead",
            )

    def apply_on_other_side(self):
        """Apply a section outside the cut-off zone; return its generation."""
        text = edited_section(self.cluster)
        return apply_section(self.cluster, TEAM, text, *self.others)["generation"]

    def heal_zone(self, generation):
        self.clear_faults()
        self.heal_and_wait()
        wait_until_in_force(self.cluster, generation)

    def book(self):
        return book_on_both_sides(self.cluster, self.cut_off_names[0], self.others[0])

    def search_in_cut_off_zone(self):
        """Search directly at a cut-off instance, as callers would not choose it."""
        address = self.cluster.instances_by_name[self.cut_off_names[0]].caller_address
        return [
            post(address, make_short_search(number)) for number in range(SEARCH_COUNT)
        ]


class ZoneTests(ZoneTestCase):
    def test_zone_cut_off_from_all_and_back(self):
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.cut_zone(PLATFORM)
            self.wait_until_dead()
            generation = self.apply_on_other_side()
            attempts = [*self.book(), *self.search_in_cut_off_zone()]
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.heal_zone(generation)
            load.wait_for_more(ANSWERS_PER_PHASE)
        self.assert_correct(load, attempts)

    def test_zone_cut_off_from_instances_only(self):
        with Load(self.cluster, make_short_search) as load:
            self.cut_zone()
            self.wait_until_dead()
            attempts = [*self.book(), *self.search_in_cut_off_zone()]
            # No peer can send the section to the cut-off side; it reads the platform.
            wait_until_in_force(self.cluster, self.apply_on_other_side())
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.heal_zone(self.generation + 1)
        self.assert_correct(load, attempts)

    def test_zone_cut_off_during_a_platform_outage(self):
        with Load(self.cluster, make_short_search) as load:
            self.cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
            self.cut_zone(PLATFORM)
            self.wait_until_dead()
            attempts = [*self.book(), *self.search_in_cut_off_zone()]
            load.wait_for_more(ANSWERS_PER_PHASE)
            self.cluster.platform.clear_faults()
            generation = self.apply_on_other_side()
            self.heal_zone(generation)
            load.wait_for_more(ANSWERS_PER_PHASE)
        self.assert_correct(load, attempts)


def restart_cut_off_under_stale_reads(cluster, name, stale_version):
    """Restart an instance that is cut off from all peers and gets stale reads.

    Returns once the instance serves or has refused to.
    """
    faults = [
        Fault(FaultKind.STALE_READ, kind, version=stale_version)
        for kind in (MANIFEST_KIND, SECTION_KIND)
    ]
    cluster.platform.set_faults(faults)
    cluster.cut([name], [other for other in cluster.instances_by_name if other != name])
    cluster.kill(name)
    cluster.restart(name, "/healthz")

    def is_settled():
        attempts = read_log(cluster, name).count("event=configuration.unconfirmed")
        return (
            attempts >= MIN_UNCONFIRMED_ATTEMPTS
            or statuses_by_name(cluster, [name])[name]["is_ready"]
        )

    wait_until(is_settled, "the instance serves, or has tried to confirm its document")


class ReadsBelievedTests(LinkTestCase):
    variant = "links_reads_believed"

    def assert_invariants(self):
        """Skip the checks: with this variant a generation decreases."""

    def test_stale_document_is_found(self):
        self.restart_without_peers()
        wait_until(lambda: self.monitor.regressions, "a generation has decreased")


class ClaimsIgnoredTests(ZoneTestCase):
    variant = "links_claims_ignored"

    def assert_invariants(self):
        """Skip the checks: with this variant bookings run twice."""

    def test_duplicate_bookings_across_a_cut_are_found(self):
        self.cut_zone()
        self.wait_until_dead()

        def has_duplicates():
            # A booking that one side refused cannot run twice, but a later one may.
            self.book()
            return duplicate_bookings(self.cluster)

        wait_until(has_duplicates, "a booking runs on both sides")


class DeadSharesForgottenTests(ZoneTestCase):
    variant = "links_dead_shares_forgotten"
    # The cut-off zone has one of three instances; alone, it uses the full limit.
    instance_count = 3

    def assert_invariants(self):
        """Skip the checks: with this variant connections exceed the limit."""

    def test_limit_exceeded_across_a_cut_is_found(self):
        # Connections beyond the limit are open only while legs overlap.
        delay = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
        with Load(self.cluster, make_short_search, CALLER_COUNT) as load:
            self.cut_zone(faults=[delay])
            self.wait_until_dead()
            wait_until(self.search_and_find_violations, "a limit is exceeded")
            self.assertGreater(load.count_answers(), 0)

    def search_and_find_violations(self):
        """Search on both sides of the cut; return the exceeded limits.

        The callers of a load may all have chosen instances on one side. The other side
        then opens no connections, and no limit is exceeded.
        """
        sides = (self.cut_off_names[0], self.others[0])
        addresses = [
            self.cluster.instances_by_name[name].caller_address for name in sides
        ]
        searches = [make_short_search(number) for number in range(CALLER_COUNT)]
        post_concurrently(addresses, searches)
        return limit_violations(self.cluster)
