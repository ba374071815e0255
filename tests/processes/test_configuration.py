"""Tests that an accepted configuration applies everywhere and is never rolled back."""

from __future__ import annotations

import concurrent.futures
import contextlib
import itertools

from almondspool.protocol.document import section_digest
from almondspool.protocol.http_platform import make_http_platform
from almondspool.protocol.manifest import (
    MANIFEST_KIND,
    MANIFEST_NAME,
    SECTION_KIND,
    decode_manifest,
    encode_manifest,
    replace_section,
    section_name,
)
from almondspool.standins.faults import Fault, FaultKind
from tests.processes.caller import make_search, post
from tests.processes.generations import GenerationMonitor, edited_section
from tests.processes.support import (
    TEAM,
    ClusterTestCase,
    accepted_digest,
    apply_section,
    operator_client,
    statuses_by_name,
    wait_until,
    wait_until_in_force,
)

OTHER_TEAM = "member-records"
CONFLICT = 402
INVALID_MANIFESTS = (
    b"",
    b"{not json",
    b'{"generation": 1, "entries_by_team": {}}',
    b"\xff" * 40,
)
TOKEN_NUMBERS = itertools.count(1001)
PLATFORM_TIMEOUT_S = 5.0
MANIFEST_WRITE_DELAY_MS = 400.0
RACE_COUNT = 5


def restart_under_stale_reads(cluster):
    """Apply a section, then restart an instance while platform reads do not show it.

    Returns:
        The section's text and the decreases of generations.
    """
    name = next(iter(cluster.instances_by_name))
    platform = make_http_platform(cluster.platform_address, PLATFORM_TIMEOUT_S)
    with GenerationMonitor(cluster) as monitor:
        wait_until_in_force(cluster)
        stale_version = platform.list(MANIFEST_KIND).unwrap().version
        text = edited_section(cluster)
        generation = apply_section(cluster, TEAM, text)["generation"]
        wait_until_in_force(cluster, generation)
        monitor.wait_for(generation)
        faults = [
            Fault(FaultKind.STALE_READ, kind, version=stale_version)
            for kind in (MANIFEST_KIND, SECTION_KIND)
        ]
        cluster.platform.set_faults(faults)
        cluster.kill(name)
        cluster.restart(name)
        with contextlib.suppress(AssertionError):
            wait_until_in_force(cluster)
            wait_for_platform_reads(cluster)
    return text, monitor.regressions


def race_on_section(cluster):
    """Apply two edits of a section concurrently.

    Writes of the manifest are delayed, so that both edits have the same base.

    Returns:
        The digest of the base, the two texts, and the answers in their order.
    """
    base = accepted_digest(operator_client(cluster), TEAM)
    texts = [edited_section(cluster) for _ in range(2)]
    delay = Fault(
        FaultKind.DELAY, MANIFEST_KIND, method="PUT", delay_ms=MANIFEST_WRITE_DELAY_MS
    )
    cluster.platform.set_faults([delay])

    def apply_at(name, text):
        token = f"race-{next(TOKEN_NUMBERS)}"
        return operator_client(cluster, name).apply_section(
            TEAM, text.encode(), base, token
        )

    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        answers = list(pool.map(apply_at, cluster.instances_by_name, texts))
    cluster.platform.clear_faults()
    return base, texts, answers


def put_mismatched_section(cluster):
    """Put a manifest whose new section has a text that does not match its digest.

    Returns:
        The previous manifest object, the new one, and the text.
    """
    platform = make_http_platform(cluster.platform_address, PLATFORM_TIMEOUT_S)
    valid = platform.get(MANIFEST_KIND, MANIFEST_NAME).unwrap()
    digest = section_digest(edited_section(cluster).encode())
    mismatched = edited_section(cluster)
    name = section_name(TEAM, digest)
    platform.put(SECTION_KIND, name, mismatched.encode(), 0).unwrap()
    manifest = replace_section(decode_manifest(valid.value), TEAM, digest, name)
    value = encode_manifest(manifest)
    put = platform.put(MANIFEST_KIND, MANIFEST_NAME, value, valid.version).unwrap()
    return valid, put, mismatched


def wait_for_platform_reads(cluster):
    """Wait until the platform has received 8 more reads."""

    def count_reads():
        names = cluster.platform.counters()["by_name"]
        return names.get("get", 0) + names.get("list", 0)

    target = count_reads() + 8
    wait_until(
        lambda: count_reads() >= target, "instances have read from the platform again"
    )


class ConfigurationTests(ClusterTestCase):
    def setUp(self):
        super().setUp()
        self.generation = wait_until_in_force(self.cluster)
        self.names = tuple(self.cluster.instances_by_name)
        self.monitor = self.enterContext(GenerationMonitor(self.cluster))
        self.addCleanup(lambda: self.assertEqual([], self.monitor.regressions))
        self.platform = make_http_platform(
            self.cluster.platform_address, PLATFORM_TIMEOUT_S
        )

    def apply_at(self, name, team, text, base, token):
        return operator_client(self.cluster, name).apply_section(
            team, text.encode(), base, token
        )

    def accepted_digest_of(self, team):
        return accepted_digest(operator_client(self.cluster), team)

    def assert_in_force(self, text, team=TEAM):
        for name in self.names:
            text_in_force = operator_client(self.cluster, name).get_section(team)[
                "text"
            ]
            self.assertEqual(text, text_in_force, name)

    def test_two_operators_race_on_one_section(self):
        base, texts, answers = race_on_section(self.cluster)
        self.assertEqual([0, CONFLICT], sorted(answer["code"] for answer in answers))
        winner = texts[0] if answers[0]["code"] == 0 else texts[1]
        accepted, refused = sorted(answers, key=lambda answer: answer["code"])
        self.assertEqual(accepted["digest"], refused["current_digest"])
        self.assertEqual(accepted["generation"], refused["current_version"])
        self.assertIn(base[:8], refused["message"])
        self.assertEqual(
            self.generation + 1,
            wait_until_in_force(self.cluster, accepted["generation"]),
        )
        self.assert_in_force(winner)

    def test_two_operators_race_on_different_sections(self):
        texts_by_team = {t: edited_section(self.cluster, t) for t in (TEAM, OTHER_TEAM)}
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            futures = [
                pool.submit(
                    self.apply_at,
                    name,
                    team,
                    text,
                    self.accepted_digest_of(team),
                    f"r-{team}",
                )
                for name, (team, text) in zip(
                    self.names, texts_by_team.items(), strict=False
                )
            ]
            self.assertEqual([0, 0], [future.result()["code"] for future in futures])
        wait_until_in_force(self.cluster, self.generation + 2)
        for team, text in texts_by_team.items():
            self.assert_in_force(text, team)

    def test_reply_lost_after_effect(self):
        drop_reply = Fault(
            FaultKind.DROP_REPLY_AFTER_EFFECT,
            MANIFEST_KIND,
            method="PUT",
            count=1,
        )
        self.cluster.platform.set_faults([drop_reply])
        text = edited_section(self.cluster)
        answer = self.apply_at(
            self.names[0], TEAM, text, self.accepted_digest_of(TEAM), "lost"
        )
        again = self.apply_at(
            self.names[1], TEAM, text, self.accepted_digest_of(TEAM), "lost"
        )
        self.assertEqual([0, 0], [answer["code"], again["code"]])
        self.assertEqual(
            self.generation + 1, wait_until_in_force(self.cluster, self.generation + 1)
        )
        self.assert_in_force(text)

    def test_outage_during_acceptance(self):
        base, text = self.accepted_digest_of(TEAM), edited_section(self.cluster)
        self.cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
        refused = self.apply_at(self.names[0], TEAM, text, base, "outage")
        self.assertEqual(6, refused["code"] // 100, refused)
        self.cluster.platform.clear_faults()

        def is_accepted():
            return self.apply_at(self.names[1], TEAM, text, base, "outage")["code"] == 0

        wait_until(is_accepted, "the section is accepted after the outage")
        self.assertEqual(
            self.generation + 1, wait_until_in_force(self.cluster, self.generation + 1)
        )
        self.assert_in_force(text)

    def test_restart_during_outage(self):
        text = edited_section(self.cluster)
        generation = apply_section(self.cluster, TEAM, text)["generation"]
        wait_until_in_force(self.cluster, generation)
        self.cluster.platform.set_faults([Fault(FaultKind.OUTAGE)])
        self.cluster.kill(self.names[1])
        self.cluster.restart(self.names[1])
        self.assertEqual(generation, wait_until_in_force(self.cluster, generation))
        self.assert_in_force(text)
        address = self.cluster.instances_by_name[self.names[1]].caller_address
        wait_until(
            lambda: post(address, make_search(1)).code == 0, "the instance serves"
        )

    def test_restart_under_stale_reads(self):
        text, regressions = restart_under_stale_reads(self.cluster)
        self.assertEqual([], regressions)
        wait_until_in_force(self.cluster, self.generation + 1)
        self.assert_in_force(text)

    def test_manually_edited_manifest(self):
        text = edited_section(self.cluster)
        generation = apply_section(self.cluster, TEAM, text)["generation"]
        wait_until_in_force(self.cluster, generation)
        valid = self.platform.get(MANIFEST_KIND, MANIFEST_NAME).unwrap()
        version = valid.version
        for value in INVALID_MANIFESTS:
            before = self.count_refusals()
            version = (
                self.platform.put(MANIFEST_KIND, MANIFEST_NAME, value, version)
                .unwrap()
                .version
            )
            wait_until(
                lambda b=before: self.count_refusals() > b, "the manifest is refused"
            )
            self.assertEqual(generation, wait_until_in_force(self.cluster, generation))
            self.assert_in_force(text)
        self.platform.put(MANIFEST_KIND, MANIFEST_NAME, valid.value, version).unwrap()
        repaired = edited_section(self.cluster)
        answer = apply_section(self.cluster, TEAM, repaired)
        wait_until_in_force(self.cluster, answer["generation"])
        self.assert_in_force(repaired)

    def test_manually_edited_section(self):
        text = edited_section(self.cluster)
        generation = apply_section(self.cluster, TEAM, text)["generation"]
        wait_until_in_force(self.cluster, generation)
        for stored in (
            self.platform.list(SECTION_KIND).unwrap().objects_by_name.values()
        ):
            self.platform.put(SECTION_KIND, stored.name, b"nonsense", stored.version)
        self.cluster.kill(self.names[2])
        self.cluster.restart(self.names[2])
        self.assertEqual(generation, wait_until_in_force(self.cluster, generation))
        self.assert_in_force(text)

    def test_manually_replaced_section_text(self):
        text = edited_section(self.cluster)
        generation = apply_section(self.cluster, TEAM, text)["generation"]
        wait_until_in_force(self.cluster, generation)
        before = self.count_damaged_by_name()
        valid, put, _ = put_mismatched_section(self.cluster)

        def is_refused_everywhere():
            counts = self.count_damaged_by_name()
            return all(counts[name] > before[name] for name in self.names)

        wait_until(is_refused_everywhere, "every instance refuses the section")
        self.assertEqual(generation, wait_until_in_force(self.cluster, generation))
        self.assert_in_force(text)
        self.platform.put(
            MANIFEST_KIND, MANIFEST_NAME, valid.value, put.version
        ).unwrap()
        repaired = edited_section(self.cluster)
        answer = apply_section(self.cluster, TEAM, repaired)
        wait_until_in_force(self.cluster, answer["generation"])
        self.assert_in_force(repaired)

    def count_damaged_by_name(self):
        return {
            name: status["refusals"].get("section_damaged", 0)
            for name, status in statuses_by_name(self.cluster).items()
        }

    def count_refusals(self):
        found = statuses_by_name(self.cluster).values()
        return sum(sum(status["refusals"].values()) for status in found)


class RevertingTests(ClusterTestCase):
    variant = "reverting"

    def test_decreasing_generations_are_found(self):
        _, regressions = restart_under_stale_reads(self.cluster)
        self.assertNotEqual([], regressions)


class UnconditionalPutTests(ClusterTestCase):
    variant = "unconditional_put"

    def test_lost_edits_are_found(self):
        codes = []
        for _ in range(RACE_COUNT):
            _, _, answers = race_on_section(self.cluster)
            codes.append(sorted(answer["code"] for answer in answers))
        self.assertIn([0, 0], codes)


class UncheckedSectionsTests(ClusterTestCase):
    variant = "unchecked_sections"

    def test_manually_replaced_text_is_found(self):
        generation = wait_until_in_force(self.cluster)
        _, _, mismatched = put_mismatched_section(self.cluster)
        wait_until_in_force(self.cluster, generation + 1)
        text_in_force = operator_client(self.cluster).get_section(TEAM)["text"]
        self.assertEqual(mismatched, text_in_force)
