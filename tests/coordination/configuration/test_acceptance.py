from __future__ import annotations

import random

import testtools

from almondspool.codes import ResultCode
from almondspool.coordination.configuration import (
    acceptance as acceptance_module,
)
from almondspool.coordination.configuration.acceptance import (
    MAX_ATTEMPTS,
    Acceptor,
    _Write,
)
from almondspool.coordination.store import retrying_platform as retrying_platform_module
from almondspool.coordination.store.platform_calls import make_platform_calls
from almondspool.logs import EventLog
from almondspool.protocol.document import section_digest
from almondspool.protocol.manifest import (
    MANIFEST_KIND,
    MAX_RETIRED_SECTIONS,
    decode_manifest,
    section_name,
)
from tests.configuration_session import ConfigurationSession, section_text
from tests.golden_session import verify_session

DESK = section_text("alert-desk", 1)
AUDIT = section_text("council-audit", 2)


def digest(text):
    return section_digest(text.encode())


class AcceptanceTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.session = ConfigurationSession()
        self.first, self.second, self.third = self.session.instances
        self.platform = self.session.platform

    def manifest(self):
        return decode_manifest(self.platform.objects[MANIFEST_KIND, "current"].value)

    def accept_first(self):
        self.assertEqual(ResultCode.OK, self.first.accept(DESK, token="t1").code)
        self.session.advance(1.0)

    def verify(self, name):
        self.session.advance(2.0)
        self.session.log_generations()
        verify_session(name, self.session.lines)

    def test_two_operators_race(self):
        self.accept_first()
        self.session.log("two operators edit version 1; the second is quicker")
        mine = section_text("alert-desk", 1, deadline_ms=200)
        theirs = section_text("alert-desk", 1, deadline_ms=300)

        def accept_concurrently(kind, name):
            if kind == MANIFEST_KIND:
                self.second.accept(theirs, digest(DESK), "t3")
            else:
                self.platform.before_put = accept_concurrently

        self.platform.before_put = accept_concurrently
        loser = self.first.accept(mine, digest(DESK), "t2")
        self.assertEqual(ResultCode.DOCUMENT_CONFLICT, loser.code)
        self.assertEqual((digest(theirs), 2), loser[5:7])
        self.verify("configuration_operators_race")

    def test_write_of_another_team_is_no_conflict(self):
        self.accept_first()

        def accept_concurrently(kind, name):
            if kind == MANIFEST_KIND:
                self.second.accept(AUDIT, "", "t3")
            else:
                self.platform.before_put = accept_concurrently

        self.platform.before_put = accept_concurrently
        mine = section_text("alert-desk", 1, deadline_ms=200)
        accepted = self.first.accept(mine, digest(DESK), "t2")
        self.assertEqual((ResultCode.OK, 3), (accepted.code, accepted.generation))
        self.verify("configuration_other_team_first")

    def lose_manifest_reply(self):
        def lose_next_reply(kind, name):
            if kind == MANIFEST_KIND:
                self.platform.lost_replies = 1
            else:
                self.platform.before_put = lose_next_reply

        self.platform.before_put = lose_next_reply

    def test_lost_reply_is_resolved_by_reading_back(self):
        self.accept_first()
        self.session.log("the reply to the next manifest update is lost")
        self.lose_manifest_reply()
        changed = section_text("alert-desk", 1, deadline_ms=200)
        accepted = self.first.accept(changed, digest(DESK), "t2")
        self.assertEqual((ResultCode.OK, 2), (accepted.code, accepted.generation))
        self.assertEqual(2, self.manifest().generation)
        repeated = self.second.accept(changed, digest(DESK), "t2")
        self.assertEqual((ResultCode.OK, 2), (repeated.code, repeated.generation))
        self.verify("configuration_lost_reply")

    def test_detects_missing_token(self):
        """A writer that repeats an accepted write gets a conflict without the token."""
        self.patch(acceptance_module.Manifest, "find_generation", lambda *args: 0)
        self.accept_first()
        self.lose_manifest_reply()
        changed = section_text("alert-desk", 1, deadline_ms=200)
        self.first.accept(changed, digest(DESK), "t2")
        later = section_text("alert-desk", 1, deadline_ms=300)
        self.second.accept(later, digest(changed), "t3")
        repeated = self.first.accept(changed, digest(DESK), "t2")
        self.assertEqual(ResultCode.DOCUMENT_CONFLICT, repeated.code)

    def test_repeated_write_after_a_later_one_does_not_undo_it(self):
        self.accept_first()
        changed = section_text("alert-desk", 1, deadline_ms=200)
        later = section_text("alert-desk", 1, deadline_ms=300)
        self.first.accept(changed, digest(DESK), "t2")
        self.second.accept(later, digest(changed), "t3")
        repeated = self.first.accept(changed, digest(DESK), "t2")
        self.assertEqual((ResultCode.OK, 2), (repeated.code, repeated.generation))
        self.assertEqual(
            digest(later), self.manifest().entries_by_team["alert-desk"][0]
        )

    def test_outage_during_acceptance(self):
        self.accept_first()
        self.session.log("the platform goes down after the section is written")

        def go_down(kind, name):
            if kind == MANIFEST_KIND:
                self.platform.is_down = True
            else:
                self.platform.before_put = go_down

        self.platform.before_put = go_down
        changed = section_text("alert-desk", 1, deadline_ms=200)
        unknown = self.first.accept(changed, digest(DESK), "t2")
        self.assertEqual(ResultCode.OUTCOME_UNKNOWN, unknown.code)
        self.session.log_generations()
        self.session.log("the platform is back; the operator repeats the write")
        self.platform.is_down = False
        accepted = self.first.accept(changed, digest(DESK), "t2")
        self.assertEqual((ResultCode.OK, 2), (accepted.code, accepted.generation))
        self.verify("configuration_outage_during_acceptance")

    def test_outage_before_acceptance_is_not_accepted(self):
        self.accept_first()
        self.platform.is_down = True
        changed = section_text("alert-desk", 1, deadline_ms=200)
        refused = self.first.accept(changed, digest(DESK), "t2")
        self.assertEqual(ResultCode.PLATFORM_UNAVAILABLE, refused.code)
        self.assertEqual(MAX_ATTEMPTS, refused.attempts)
        self.assertIn("not accepted", refused.message)

    def test_stale_or_deleted_manifest_is_not_updated(self):
        self.accept_first()
        del self.platform.objects[MANIFEST_KIND, "current"]
        refused = self.first.accept(AUDIT, "", "t2")
        self.assertEqual(ResultCode.PLATFORM_REPLY_INVALID, refused.code)
        self.assertNotIn((MANIFEST_KIND, "current"), self.platform.objects)

    def test_detects_missing_stale_check(self):
        self.patch(_Write, "_refuse_stale", lambda self, stored: stored)
        self.accept_first()
        del self.platform.objects[MANIFEST_KIND, "current"]
        self.first.accept(AUDIT, "", "t2")
        self.assertNotIn("alert-desk", self.manifest().entries_by_team)

    def test_whole_document_is_checked(self):
        self.accept_first()
        conflicting = section_text("council-audit", 1)
        refused = self.second.accept(conflicting, "", "t2")
        self.assertEqual(ResultCode.DOCUMENT_INVALID, refused.code)
        self.assertIn("127.0.0.1:7301", refused.message)
        self.assertEqual(1, self.manifest().generation)

    def test_repartition_under_an_old_snapshot_id_is_refused(self):
        self.accept_first()
        changed = DESK.replace("alert-desk-01/0", "alert-desk-01/1")
        refused = self.first.accept(changed, digest(DESK), "t2")
        self.assertEqual(ResultCode.DOCUMENT_INVALID, refused.code)

    def test_damaged_section_object_is_written_again(self):
        self.platform.force_put(
            "section", f"alert-desk.{digest(DESK)[:16]}", b"by hand"
        )
        self.accept_first()
        stored = self.platform.objects["section", f"alert-desk.{digest(DESK)[:16]}"]
        self.assertEqual(DESK.encode(), stored.value)


class AcceptanceRateLimitTests(testtools.TestCase):
    def accept_with_a_low_rate_limit(self):
        session = ConfigurationSession()
        first = session.instances[0]
        rng = random.Random(1)
        rate_limited = make_platform_calls(
            session.platform, session.timers, EventLog(session.log), 0.5, rng
        )
        first.acceptor = Acceptor(
            rate_limited,
            first.configuration,
            rng,
            session.advance,
            lambda accepted: None,
        )
        return first.accept(DESK, token="t1")

    def test_low_rate_limit_delays_a_write_but_does_not_refuse_it(self):
        accepted = self.accept_with_a_low_rate_limit()
        self.assertEqual((ResultCode.OK, 1), (accepted.code, accepted.attempts))

    def test_detects_missing_retries(self):
        self.patch(retrying_platform_module, "MAX_RETRIES", 0)
        refused = self.accept_with_a_low_rate_limit()
        self.assertEqual(ResultCode.PLATFORM_RATE_LIMITED, refused.code)


class SectionRetentionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.session = ConfigurationSession()
        self.first, self.second, _ = self.session.instances
        self.platform = self.session.platform
        self.texts = [section_text("alert-desk", 1, 100 + n) for n in range(40)]

    def accept(self, index, base, instance=None):
        instance = instance or self.first
        base = digest(self.texts[base]) if base is not None else ""
        accepted = instance.accept(self.texts[index], base, f"t{self.platform.version}")
        self.assertEqual(ResultCode.OK, accepted.code, accepted.message)

    def accept_up_to(self, count):
        for index in range(count):
            self.accept(index, index - 1 if index else None)

    def section_names(self):
        return {name for kind, name in self.platform.objects if kind == "section"}

    def name(self, index):
        return section_name("alert-desk", digest(self.texts[index]))

    def test_only_the_last_sections_are_kept(self):
        self.accept_up_to(40)
        kept = {self.name(index) for index in range(40 - MAX_RETIRED_SECTIONS - 1, 40)}
        self.assertEqual(kept, self.section_names())

    def test_section_accepted_again_while_it_expires_is_kept(self):
        """The oldest section is accepted again between its look-up and deletion."""
        self.accept_up_to(MAX_RETIRED_SECTIONS + 1)
        delete = self.platform.delete

        def accept_again(kind, name, version):
            self.platform.delete = delete
            self.session.advance(1.0)
            self.accept(0, MAX_RETIRED_SECTIONS + 1, self.second)
            return delete(kind, name, version)

        self.platform.delete = accept_again
        self.accept(MAX_RETIRED_SECTIONS + 1, MAX_RETIRED_SECTIONS)
        self.assertIn(self.name(0), self.section_names())
        entry = self.second.configuration.manifest.entries_by_team["alert-desk"]
        self.assertEqual(digest(self.texts[0]), entry.digest)

    def test_detects_deletion_without_version(self):
        self.patch(
            acceptance_module,
            "delete_versions",
            lambda platform, versions: [
                self.platform.objects.pop(("section", name)) for name in versions
            ],
        )
        self.accept_up_to(MAX_RETIRED_SECTIONS + 1)
        put = self.platform.put

        def accept_again(kind, name, value, expected):
            result = put(kind, name, value, expected)
            if (
                kind == MANIFEST_KIND
                and value.count(b"alert-desk") > MAX_RETIRED_SECTIONS
            ):
                self.platform.put = put
                self.accept(0, MAX_RETIRED_SECTIONS + 1, self.second)
            return result

        self.platform.put = accept_again
        self.accept(MAX_RETIRED_SECTIONS + 1, MAX_RETIRED_SECTIONS)
        self.assertNotIn(self.name(0), self.section_names())
