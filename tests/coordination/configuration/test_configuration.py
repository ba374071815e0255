from __future__ import annotations

import random

import testtools
from hypothesis import given, settings, strategies

from almondspool.coordination.configuration import (
    configuration as configuration_module,
    section_store as section_store_module,
)
from almondspool.coordination.configuration.configuration import (
    START_WAIT_S,
    Configuration,
)
from almondspool.coordination.configuration.configuration_actions import (
    AdoptDocument,
    SendMessage,
)
from almondspool.coordination.configuration.readiness import Readiness
from almondspool.protocol.document import section_digest
from almondspool.protocol.manifest import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    SECTION_KIND,
    encode_manifest,
    replace_section,
    section_name,
)
from almondspool.protocol.peer import FetchObjects, ObjectsReply, ReplicatedObject
from almondspool.protocol.section_compression import compress_section
from tests.configuration_session import ConfigurationSession, section_text
from tests.golden_session import verify_session

DESK = section_text("alert-desk", 1)
AUDIT = section_text("council-audit", 2)


def digest(text):
    return section_digest(text.encode())


class ConfigurationSpreadTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.session = ConfigurationSession()
        self.first, self.second, self.third = self.session.instances
        self.platform = self.session.platform
        self.first.accept(DESK, token="t1")
        self.session.advance(1.0)

    def change(self, deadline_ms, token):
        entries = self.first.configuration.manifest.entries_by_team
        text = section_text("alert-desk", 1, deadline_ms)
        self.first.accept(text, entries["alert-desk"].digest, token)

    def verify(self, name):
        self.session.advance(3.0)
        self.session.log_generations()
        verify_session(name, self.session.lines)

    def assert_in_force(self, *generations):
        found = [
            instance.configuration.document.generation
            for instance in self.session.instances
        ]
        self.assertEqual(list(generations), found)
        for instance in self.session.instances:
            self.assertEqual(sorted(instance.generations), instance.generations)

    def make_stale(self):
        """Accept generation 2 without perth-3; then make the platform's reads stale."""
        self.session.advance(START_WAIT_S)
        self.session.log("perth-3 is cut off from its peers")
        self.third.is_partitioned = True
        before = dict(self.platform.objects)
        self.change(200, "t2")
        self.session.advance(1.0)
        self.session.log("from here on the platform's reads are stale")
        self.platform.stale_objects = before

    def test_stale_platform_and_stale_peer(self):
        self.make_stale()
        for instance in self.session.instances:
            instance.poll()
        self.session.log("perth-3 is back; it runs the older generation")
        self.third.is_partitioned = False
        self.third.handle("on_view", self.first.configuration._view, self.third.now())
        self.second.receive("perth-3", self.third.configuration._manifest_message())
        self.verify("configuration_stale_platform_and_peer")
        self.assert_in_force(2, 2, 2)

    def test_detects_missing_lower_manifest_check(self):
        self.patch(Configuration, "_is_lower", lambda self, manifest: False)
        self.make_stale()
        self.first.poll()
        self.session.advance(3.0)
        self.assertEqual([1, 2, 1], self.first.generations[:3])

    def test_invalid_hand_edited_manifests(self):
        self.session.log("the manifest is edited by hand into nonsense")
        self.platform.force_put(MANIFEST_KIND, MANIFEST_NAME, b"{oops")
        self.second.poll()
        self.second.poll()
        manifest = self.first.configuration.manifest
        self.session.log("then into one that names a section that does not exist")
        invalid_manifest = replace_section(
            manifest, "alert-desk", digest("x"), "by hand"
        )
        self.platform.force_put(
            MANIFEST_KIND, MANIFEST_NAME, encode_manifest(invalid_manifest)
        )
        self.second.poll()
        self.session.advance(90.0)
        self.assertLess(self.platform.calls["get"], 20)
        self.session.log("then into one whose section is not valid")
        invalid_text = "team: alert-desk\nservices: none\n"
        invalid_manifest = replace_section(
            invalid_manifest, "alert-desk", digest(invalid_text), "by hand"
        )
        name = section_name("alert-desk", digest(invalid_text))
        self.platform.force_put(SECTION_KIND, name, invalid_text.encode())
        self.platform.force_put(
            MANIFEST_KIND, MANIFEST_NAME, encode_manifest(invalid_manifest)
        )
        self.second.poll()
        self.session.log("then the accepted generation is given another section")
        other = manifest._replace(tokens=())
        self.platform.force_put(MANIFEST_KIND, MANIFEST_NAME, encode_manifest(other))
        self.second.poll()
        self.verify("configuration_hand_edited")
        self.assert_in_force(1, 1, 1)
        counts = self.second.configuration.refusals.counts
        self.assertEqual(2, counts["manifest_invalid"])
        self.assertEqual(1, counts["manifest_unusable"])
        self.assertEqual(1, counts["manifest_differs"])

    def test_restart_with_a_stale_platform_and_without_any(self):
        self.make_stale()
        self.third.is_partitioned = False
        self.second.restart()
        self.second.poll()
        self.assertFalse(self.second.configuration.is_ready(self.second.now()))
        self.session.advance(3.0)
        self.assertTrue(self.second.configuration.is_ready(self.second.now()))
        self.session.log("the platform is down, and perth-3 restarts")
        self.platform.is_down = True
        self.third.restart()
        self.third.poll()
        self.verify("configuration_restart")
        self.assert_in_force(2, 2, 2)
        self.assertTrue(self.third.configuration.is_ready(self.third.now()))

    def restart_alone_with_stale_reads(self):
        self.make_stale()
        self.session.log("perth-2 is cut off from its peers")
        self.second.is_partitioned = True
        self.second.restart()
        self.second.poll()
        self.session.advance(6.0)

    def test_stale_platform_without_peers(self):
        self.restart_alone_with_stale_reads()
        self.assertFalse(self.second.configuration.is_ready(self.second.now()))
        self.assertEqual(1, self.second.configuration.document.generation)
        self.session.log("the platform's reads are current again")
        self.platform.stale_objects = None
        self.verify("configuration_stale_platform_alone")
        self.assertTrue(self.second.configuration.is_ready(self.second.now()))
        self.assertEqual(2, self.second.configuration.document.generation)

    def test_all_restart_at_once(self):
        for instance in self.session.instances:
            instance.restart()
            instance.poll()
        puts = self.platform.calls["put"]
        self.session.advance(3.0)
        for instance in self.session.instances:
            self.assertTrue(instance.configuration.is_ready(instance.now()))
        self.assertLessEqual(self.platform.calls["put"] - puts, 3)

    def test_detects_missing_confirmation(self):
        """Without confirmation a restarted instance serves a replaced generation."""
        self.patch(Readiness, "_is_confirmed", lambda self, generation, peers: True)
        self.restart_alone_with_stale_reads()
        self.assertTrue(self.second.configuration.is_ready(self.second.now()))
        self.assertEqual(1, self.second.configuration.document.generation)

    def test_damaged_section_is_fetched_elsewhere(self):
        name = section_name("council-audit", digest(AUDIT))
        self.first.accept(AUDIT, token="t2")
        self.platform.force_put(SECTION_KIND, name, b"by hand")
        self.session.advance(2.0)
        self.assert_in_force(2, 2, 2)

    def test_only_changed_sections_are_fetched(self):
        self.first.accept(AUDIT, token="t2")
        self.session.advance(1.0)
        fetches = [
            message
            for message in self.session.sent
            if isinstance(message, FetchObjects)
        ]
        names = {name for fetch in fetches[2:] for name in fetch.names}
        self.assertEqual({section_name("council-audit", digest(AUDIT))}, names)


class ManyInstancesTests(testtools.TestCase):
    def test_a_change_reaches_every_instance_through_a_tree(self):
        session = ConfigurationSession(90)
        session.instances[17].accept(DESK, token="t1")
        session.advance(0.1)
        in_force = [
            instance.configuration.document.generation for instance in session.instances
        ]
        self.assertEqual([1] * 90, in_force)
        pushes = [message for message in session.sent if is_manifest(message)]
        self.assertLess(len(pushes), 2 * 90)


def is_manifest(message):
    return isinstance(message, ObjectsReply) and message.objects[0].kind == "manifest"


class UnorderedEvents:
    """Accepted generations with invalid copies, for delivery in any order."""

    def __init__(self):
        self.manifests = []
        self.sections = []
        manifest = None
        for number in range(1, 6):
            text = section_text("alert-desk", 1, 100 + number)
            team = "alert-desk"
            if number % 2 == 0:
                team, text = "council-audit", section_text("council-audit", 2, number)
            manifest = replace_section(manifest, team, digest(text), f"t{number}")
            self.manifests.append(manifest)
            self.sections.append((section_name(team, digest(text)), text.encode()))
        missing = replace_section(manifest, "alert-desk", digest("x"), "by hand")
        good_values = [encode_manifest(manifest) for manifest in self.manifests]
        bad_values = [b"", b"{", good_values[2][:50], *map(encode_manifest, (missing,))]
        self.manifest_values = good_values + bad_values
        names = [name for name, _ in self.sections]
        shuffled = list(
            zip(names, [t for _, t in reversed(self.sections)], strict=True)
        )
        self.section_objects = self.sections + shuffled + [(names[0], b"\xff")]

    def events(self):
        manifests = strategies.tuples(
            strategies.sampled_from(["platform", "peer"]),
            strategies.sampled_from(self.manifest_values),
        )
        sections = strategies.tuples(
            strategies.sampled_from(["platform_section", "peer_section"]),
            strategies.sampled_from(self.section_objects),
        )
        ticks = strategies.tuples(strategies.just("tick"), strategies.just(None))
        return strategies.lists(strategies.one_of(manifests, sections, ticks))


UNORDERED_EVENTS = UnorderedEvents()


class ConfigurationOrderTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(UNORDERED_EVENTS.events())
    def test_any_order_never_lowers_or_invents_a_generation(self, events):
        configuration = Configuration("perth-1", random.Random(1), 0.0)
        for index, (kind, item) in enumerate(events):
            before = configuration.document.generation
            self.deliver(configuration, kind, item, float(index))
            self.check(configuration, before)
        for name, text in UNORDERED_EVENTS.sections * 2:
            value = UNORDERED_EVENTS.manifest_values[4]
            self.deliver(configuration, "platform", value, 1e3)
            self.deliver(configuration, "platform_section", (name, text), 1e3)
        self.assertEqual(5, configuration.document.generation)

    def deliver(self, configuration, kind, item, now):
        match kind:
            case "platform":
                configuration.on_platform_manifest(item, now)
            case "peer":
                replicated_object = ReplicatedObject(
                    MANIFEST_KIND, MANIFEST_NAME, 1, item
                )
                configuration.on_peer_objects(
                    "perth-2", ObjectsReply((replicated_object,)), now
                )
            case "platform_section":
                configuration.on_platform_section(*item, now)
            case "peer_section":
                compressed = compress_section(item[1])
                replicated_object = ReplicatedObject(
                    SECTION_KIND, item[0], 1, compressed
                )
                configuration.on_peer_objects(
                    "perth-2", ObjectsReply((replicated_object,)), now
                )
            case "tick":
                configuration.on_tick(now)

    def check(self, configuration, before):
        generation = configuration.document.generation
        self.assertGreaterEqual(generation, before)
        if generation:
            manifest = UNORDERED_EVENTS.manifests[generation - 1]
            self.assertEqual(manifest, configuration.manifest)
            teams = configuration.document.sections_by_team.keys()
            self.assertEqual(manifest.entries_by_team.keys(), teams)

    def test_compressed_section_that_is_damaged_is_refused(self):
        configuration = Configuration("perth-1", random.Random(1), 0.0)
        configuration.on_platform_manifest(UNORDERED_EVENTS.manifest_values[0], 0.0)
        name, text = UNORDERED_EVENTS.sections[0]
        for value in (
            b"",
            b"junk",
            compress_section(text)[:40],
            compress_section(b"x" * 10**7),
        ):
            replicated_object = ReplicatedObject(SECTION_KIND, name, 1, value)
            configuration.on_peer_objects(
                "perth-2", ObjectsReply((replicated_object,)), 1.0
            )
        self.assertEqual(4, configuration.refusals.counts["section_damaged"])

    def test_detects_missing_digest_check(self):
        """Without the digest check a text that was not accepted is adopted."""
        wanted = digest(UNORDERED_EVENTS.sections[0][1].decode())
        name, _ = UNORDERED_EVENTS.sections[0]
        foreign = section_text("alert-desk", 1, 777).encode()
        configuration = Configuration("perth-1", random.Random(1), 0.0)
        configuration.on_platform_manifest(UNORDERED_EVENTS.manifest_values[0], 0.0)
        configuration.on_platform_section(name, foreign, 0.0)
        self.assertEqual(0, configuration.document.generation)
        for module in (configuration_module, section_store_module):
            self.patch(module, "section_digest", lambda text: wanted)
        actions = configuration.on_platform_section(name, foreign, 0.0)
        self.assertIn(AdoptDocument, map(type, actions))

    def test_peer_with_an_older_manifest_gets_the_newer_one(self):
        configuration = Configuration("perth-1", random.Random(1), 0.0)
        for name, text in UNORDERED_EVENTS.sections[:2]:
            configuration.on_platform_manifest(UNORDERED_EVENTS.manifest_values[1], 0.0)
            configuration.on_platform_section(name, text, 0.0)
        old = UNORDERED_EVENTS.manifest_values[0]
        replicated_object = ReplicatedObject(MANIFEST_KIND, MANIFEST_NAME, 1, old)
        actions = configuration.on_peer_objects(
            "perth-9", ObjectsReply((replicated_object,)), 1.0
        )
        sent = [a for a in actions if isinstance(a, SendMessage)]
        self.assertEqual(["perth-9"], [a.instance for a in sent])
        self.assertEqual(2, sent[0].message.objects[0].version)
