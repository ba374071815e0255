from __future__ import annotations

import random

import testtools
from hypothesis import given, settings, strategies
from returns.result import Failure
from testtools.matchers import MismatchError

from almondspool.codes import ResultCode
from almondspool.coordination.configuration.acceptance import Acceptor, _Write
from almondspool.coordination.configuration.configuration import Configuration
from almondspool.errors import PlatformError
from almondspool.protocol.document import section_digest
from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME, decode_manifest
from tests.configuration_session import section_text
from tests.fakes import FakePlatform

TEAMS = ("alert-desk", "council-audit")
FAULTS = strategies.sampled_from(["none", "none", "none", "down", "lost", "stale"])
WRITES = strategies.tuples(
    strategies.integers(0, 2),
    strategies.sampled_from(TEAMS),
    strategies.booleans(),
)


class FaultyPlatform(FakePlatform):
    """Applies the next fault of a list at each call.

    Before a write of the manifest the next concurrent write is accepted.
    """

    def __init__(self, faults, concurrent_writes):
        super().__init__()
        self.faults = list(reversed(faults))
        self.concurrent_writes = list(concurrent_writes)
        self.accept_concurrent_write = None
        self.history = [{}]

    def get(self, kind, name):
        fault = self.next_fault()
        if fault in ("down", "lost"):
            return Failure(PlatformError(fault))
        stale = self.history[len(self.history) // 4] if fault == "stale" else None
        self.stale_objects = stale
        try:
            return super().get(kind, name)
        finally:
            self.stale_objects = None

    def put(self, kind, name, value, expected_version):
        if kind == MANIFEST_KIND and self.concurrent_writes:
            self.accept_concurrent_write(*self.concurrent_writes.pop())
        fault = self.next_fault()
        if fault == "down":
            return Failure(PlatformError(fault))
        self.lost_replies = 1 if fault == "lost" else 0
        result = super().put(kind, name, value, expected_version)
        self.lost_replies = 0
        self.history.append(dict(self.objects))
        return result

    def next_fault(self):
        return self.faults.pop() if self.faults else "none"


class Operators:
    """Operators of three instances, who write sections and may repeat a write."""

    def __init__(self, faults, concurrent_writes):
        self.platform = FaultyPlatform(faults, concurrent_writes)
        self.platform.accept_concurrent_write = self.write
        self.writes = []
        self.instances = [Configuration(f"i{n}", random.Random(n), 0.0) for n in "012"]
        self.acceptors = [
            self.make_acceptor(configuration) for configuration in self.instances
        ]

    def make_acceptor(self, configuration):
        return Acceptor(
            self.platform,
            configuration,
            random.Random(1),
            lambda seconds: None,
            lambda accepted: configuration.on_accepted(*accepted, 0.0),
        )

    def write(self, index, team, is_repeated):
        """Edit the current section of a team; record the write and its outcome."""
        found = self.platform.objects.get((MANIFEST_KIND, MANIFEST_NAME))
        entries = decode_manifest(found.value).entries_by_team if found else {}
        base = entries[team].digest if team in entries else ""
        number = len(self.writes)
        text = section_text(team, TEAMS.index(team), 100 + number).encode()
        self.writes.append(None)
        arguments = (team, text, base, f"token-{number}")
        outcome = self.acceptors[index].accept(*arguments)
        if is_repeated:
            outcome = self.acceptors[(index + 1) % 3].accept(*arguments)
        self.writes[number] = (section_digest(text), base, team, outcome)

    def manifests(self):
        events = [
            event for event in self.platform.events if event.kind == MANIFEST_KIND
        ]
        return [decode_manifest(event.value) for event in events]


class AcceptancePropertyTests(testtools.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        strategies.lists(WRITES, min_size=1, max_size=6),
        strategies.lists(WRITES, max_size=4),
        strategies.lists(FAULTS, max_size=60),
    )
    def test_no_accepted_write_is_lost_doubled_or_undone(
        self, writes, concurrent_writes, faults
    ):
        self.run_writes(writes, concurrent_writes, faults)

    def run_writes(self, writes, concurrent_writes, faults):
        operators = Operators(faults, concurrent_writes)
        for write in writes:
            operators.write(*write)
        self.check_history(operators)
        self.check_outcomes(operators)

    def check_history(self, operators):
        """Check that each generation changes one team, based on the previous one."""
        before = None
        for manifest in operators.manifests():
            token = manifest.tokens[-1].token
            digest, base, team, _ = operators.writes[int(token.partition("-")[2])]
            entries = dict(before.entries_by_team) if before else {}
            replaced = entries.get(team)
            self.assertEqual(base, replaced.digest if replaced else "")
            generation = before.generation + 1 if before else 1
            self.assertEqual(generation, manifest.generation)
            entries[team] = (digest, generation)
            self.assertEqual(entries, manifest.entries_by_team)
            before = manifest

    def check_outcomes(self, operators):
        manifests = operators.manifests()
        tokens = [manifest.tokens[-1].token for manifest in manifests]
        for number, (_, _, _, outcome) in enumerate(operators.writes):
            count = tokens.count(f"token-{number}")
            self.assertLessEqual(count, 1)
            if outcome.code is ResultCode.OK:
                self.assertEqual(1, count)
                generation = tokens.index(f"token-{number}") + 1
                self.assertEqual(generation, outcome.generation)
            elif outcome.code is not ResultCode.OUTCOME_UNKNOWN:
                self.assertEqual(0, count, outcome)

    def write_with_lost_reply_and_stale_read_back(self):
        writes = [(0, "alert-desk", False), (0, "alert-desk", False)]
        self.run_writes(writes, [], ["none"] * 5 + ["lost", "stale"])

    def test_lost_reply_and_stale_read_back(self):
        self.write_with_lost_reply_and_stale_read_back()

    def test_detects_missing_stale_check(self):
        """The writer of an accepted section gets a conflict without the check."""
        self.patch(_Write, "_refuse_stale", lambda self, stored: stored)
        self.assertRaises(MismatchError, self.write_with_lost_reply_and_stale_read_back)
