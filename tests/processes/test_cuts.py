"""Tests of instances that are cut off from each other or from the platform."""

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
    generations,
    read_log,
    statuses,
    unexpected_answers,
    wait_until,
    wait_until_in_force,
    wait_until_none,
)
from tests.processes.test_connection_limits import (
    CALLERS,
    LEG_DELAY_MS,
    TightLimitTestCase,
    are_dead,
)

ANSWERS = 25
BOOKINGS = 6
SEARCHES = 4
UNCONFIRMED = 2
TIMEOUT_S = 5.0
DEADLINE_MS = 1000
SHARDS = tuple(f"{TEAM}-0{service}/0" for service in (1, 2))


make_short_search = functools.partial(make_search, deadline_ms=DEADLINE_MS)


def are_all_alive(cluster):
    """Return whether each instance holds all instances for alive."""
    found = statuses(cluster).values()
    seen = [member["status"] for status in found for member in status["members"]]
    return seen == ["alive"] * len(cluster.instances_by_name) ** 2


def searcher_ids_in(cluster, zone):
    """Return the ids of the searchers in an availability zone."""
    searchers = cluster.deployment.searchers_by_id.values()
    return [searcher.upstream_id for searcher in searchers if searcher.zone == zone]


class LinkTestCase(ClusterTestCase):
    daemon_module = "almondspool.standins.links"
    options: ClassVar[dict[str, object]] = {"can_cut_links": True}

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
        """Check the answers to a load and to requests at specific instances."""
        searches = [each for each in attempts if each.request.get("idempotent", True)]
        answered = [*load.attempts, *searches]
        self.assertEqual([], wrong_answers(self.cluster, answered))
        self.assertEqual([], requests_run_despite_refusal(self.cluster, attempts))

    def heal_and_wait(self):
        self.cluster.heal()
        wait_until(
            lambda: are_all_alive(self.cluster), "every instance sees all as alive"
        )
        wait_until_none(
            lambda: unexpected_answers(self.cluster), "answers are complete again"
        )

    def restart_alone(self):
        """Restart an instance without peers while platform reads predate a section."""
        platform = make_http_platform(self.cluster.platform_address, TIMEOUT_S)
        stale_version = platform.list(MANIFEST_KIND).unwrap().version
        generation = apply_section(self.cluster, TEAM, edited_section(self.cluster))[
            "generation"
        ]
        wait_until_in_force(self.cluster, generation)
        self.monitor.wait_for(generation)
        restart_alone_under_stale_reads(self.cluster, self.names[0], stale_version)
        return generation


class LinkTests(LinkTestCase):
    def test_one_way_cut_between_two_instances(self):
        first, second, _ = self.names
        for sender, receiver in ((first, second), (second, first)):
            self.cut_one_way(sender, receiver)

    def cut_one_way(self, sender, receiver):
        """Cut one direction between two instances and send bookings to both."""
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS)
            self.cluster.cut([sender], [receiver], both_ways=False)
            attempts = book_on_both_sides(self.cluster, sender, receiver)
            wait_until_none(
                lambda: unexpected_answers(self.cluster),
                "answers are complete during the cut",
            )
            load.wait_for_more(ANSWERS)
            self.heal_and_wait()
            load.wait_for_more(ANSWERS)
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
        """Cut one direction between an instance and the platform during bookings."""
        directions = ([PLATFORM], [name]) if is_reply_lost else ([name], [PLATFORM])
        others = [other for other in self.names if other != name]
        with Load(self.cluster, make_short_search) as load:
            self.cluster.cut(*directions, both_ways=False)
            attempts = book_on_both_sides(self.cluster, name, others[0])
            text = edited_section(self.cluster)
            generation = apply_section(self.cluster, TEAM, text, *others)["generation"]
            wait_until_in_force(self.cluster, generation)
            load.wait_for_more(ANSWERS)
            self.heal_and_wait()
        self.assert_correct(load, attempts)

    def test_restart_alone_under_stale_reads(self):
        generation = self.restart_alone()
        address = self.cluster.instances_by_name[self.names[0]].caller_address
        self.assertTrue(post(address, make_search(0)).is_not_run())
        self.cluster.platform.clear_faults()
        self.cluster.wait_ready(self.names[0])
        self.assertEqual(generation, generations(self.cluster)[self.names[0]])
        self.heal_and_wait()


def book_on_both_sides(cluster, *names):
    """Send each booking to several instances concurrently; return the attempts."""
    addresses = [cluster.instances_by_name[name].caller_address for name in names]
    bookings = [make_booking(SHARDS[number % 2]) for number in range(BOOKINGS)]
    return post_concurrently(addresses, bookings)


class ZoneTestCase(LinkTestCase, TightLimitTestCase):
    instances = 5

    def setUp(self):
        super().setUp()
        zone = self.cluster.instances_by_name[self.names[0]].zone
        self.zone = zone
        self.cut_off_names = [name for name in self.names if name.startswith(zone)]
        self.others = [name for name in self.names if name not in self.cut_off_names]

    def cut_zone(self, *others, faults=()):
        """Cut the instances of a zone off from others and freeze its searchers.

        The faults are active at the searchers besides the freezes.
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
                "each side holds the other for dead",
            )

    def apply_on_other_side(self):
        """Apply a section on the other side; return its generation."""
        text = edited_section(self.cluster)
        return apply_section(self.cluster, TEAM, text, *self.others)["generation"]

    def heal_zone(self, generation):
        self.clear_faults()
        self.heal_and_wait()
        wait_until_in_force(self.cluster, generation)

    def book(self):
        return book_on_both_sides(self.cluster, self.cut_off_names[0], self.others[0])

    def search_in_cut_off_zone(self):
        """Search at a cut-off instance, which callers would not choose."""
        address = self.cluster.instances_by_name[self.cut_off_names[0]].caller_address
        return [post(address, make_short_search(number)) for number in range(SEARCHES)]


class ZoneTests(ZoneTestCase):
    def test_zone_cut_off_from_all_and_back(self):
        with Load(self.cluster, make_short_search) as load:
            load.wait_for_more(ANSWERS)
            self.cut_zone(PLATFORM)
            self.wait_until_dead()
            generation = self.apply_on_other_side()
            attempts = [*self.book(), *self.search_in_cut_off_zone()]
            load.wait_for_more(ANSWERS)
            self.heal_zone(generation)
            load.wait_for_more(ANSWERS)
        self.assert_correct(load, attempts)

    def test_zone_cut_off_where_both_sides_reach_the_platform(self):
        with Load(self.cluster, make_short_search) as load:
            self.cut_zone()
            self.wait_until_dead()
            attempts = [*self.book(), *self.search_in_cut_off_zone()]
            # The cut-off side gets the section from the platform, though from no peer.
            wait_until_in_force(self.cluster, self.apply_on_other_side())
            load.wait_for_more(ANSWERS)
            self.heal_zone(self.generation + 1)
        self.assert_correct(load, attempts)

    def test_zone_cut_off_in_an_outage_of_the_platform(self):
        with Load(self.cluster, make_short_search) as load:
            self.cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
            self.cut_zone(PLATFORM)
            self.wait_until_dead()
            attempts = [*self.book(), *self.search_in_cut_off_zone()]
            load.wait_for_more(ANSWERS)
            self.cluster.platform.clear_faults()
            generation = self.apply_on_other_side()
            self.heal_zone(generation)
            load.wait_for_more(ANSWERS)
        self.assert_correct(load, attempts)


def restart_alone_under_stale_reads(cluster, name, stale_version):
    """Restart an instance cut off from all peers; return once it serves or refuses."""
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
        return attempts >= UNCONFIRMED or statuses(cluster, [name])[name]["is_ready"]

    wait_until(is_settled, "it serves, or has tried to confirm its document")


class ReadsBelievedTests(LinkTestCase):
    variant = "links_reads_believed"

    def assert_invariants(self):
        """Skip the checks: this class expects a generation to decrease."""

    def test_stale_document_is_found(self):
        self.restart_alone()
        wait_until(lambda: self.monitor.regressions, "a generation has decreased")


class ClaimsIgnoredTests(ZoneTestCase):
    variant = "links_claims_ignored"

    def assert_invariants(self):
        """Skip the checks: this class expects duplicate bookings."""

    def test_duplicate_bookings_across_a_cut_are_found(self):
        self.cut_zone()
        self.wait_until_dead()

        def is_doubled():
            # A booking that one side refused cannot run twice, but a later one may.
            self.book()
            return duplicate_bookings(self.cluster)

        wait_until(is_doubled, "a booking runs on both sides")


class DeadSharesForgottenTests(ZoneTestCase):
    variant = "links_dead_shares_forgotten"
    # An instance that is alone uses the full limit.
    instances = 3

    def assert_invariants(self):
        """Skip the checks: this class expects connections beyond the limit."""

    def test_limit_exceeded_across_a_cut_is_found(self):
        # Connections beyond the limit are open only while legs overlap.
        slow = Fault(FaultKind.DELAY, delay_ms=LEG_DELAY_MS)
        with Load(self.cluster, make_short_search, CALLERS) as load:
            self.cut_zone(faults=[slow])
            self.wait_until_dead()
            wait_until(self.find_violations_on_both_sides, "a limit is exceeded")
            self.assertGreater(load.count_answers(), 0)

    def find_violations_on_both_sides(self):
        """Search on both sides of the cut; return the exceeded limits.

        The callers of a load may all have chosen instances on one side. The other side
        then opens no connections, and no limit is exceeded.
        """
        sides = (self.cut_off_names[0], self.others[0])
        addresses = [
            self.cluster.instances_by_name[name].caller_address for name in sides
        ]
        searches = [make_short_search(number) for number in range(CALLERS)]
        post_concurrently(addresses, searches)
        return limit_violations(self.cluster)
