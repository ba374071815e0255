from __future__ import annotations

import json
import zlib

import testtools

from almondspool.errors import PlatformError
from almondspool.platform.mirror import MAX_HISTORY_CHANGES, KindMirror, MirrorEndpoints
from almondspool.platform.store import StoredList, StoredObject, decode_reply
from almondspool.protocol.exchange import CallerRequest
from almondspool.transport.timers import VirtualTimers


def make_object(name, revision, deleted=False):
    return StoredObject("servers", name, revision, {"n": name}, deleted)


class MirrorTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()
        self.mirror = KindMirror(self.timers)
        self.endpoints = MirrorEndpoints({"servers": self.mirror})
        self.mirror.replace_all(
            StoredList((make_object("a", 3), make_object("b", 4)), 10)
        )
        self.mirror.set_fresh(True)

    def call(self, query="", kind="servers"):
        answers = []
        target = f"/api/objects/{kind}{query}"
        request = CallerRequest("GET", target, "h", (), b"", "", None, 0.0)
        self.endpoints.handle(request, answers.append)
        return answers

    def body(self, answers):
        return json.loads(answers[0].body)

    def test_list_has_all_objects_and_the_revision_to_watch_from(self):
        body = self.body(self.call())
        self.assertEqual(["a", "b"], [each["meta"]["name"] for each in body["items"]])
        self.assertEqual(10, body["current_rev"])

    def test_answers_carry_the_history_of_the_copy(self):
        self.mirror.replace_all(StoredList((make_object("a", 3),), 5, 2))
        for query in ("", "?watch=5&wait_ms=0"):
            answers = self.call(query)
            self.timers.advance(0.1)
            self.assertIn((b"Store-Era", b"2"), answers[0].headers, query)

    def test_large_answers_are_compressed_once_and_decoded_by_the_client(self):
        large = StoredObject("servers", "c", 20, {"text": "route " * 50_000})
        waiting = [self.call("?watch=10&wait_ms=1000") for _ in range(8)]
        self.mirror.apply((large,), 20)
        replies = [answers[0] for answers in waiting]
        self.assertTrue(all(reply is replies[0] for reply in replies))
        self.assertTrue(len(replies[0].body) < 20_000, len(replies[0].body))
        for reply in (replies[0], self.call()[0]):
            headers = {name.lower(): value for name, value in reply.headers}
            decoded = decode_reply("list", 200, headers, reply.body)
            self.assertIn("route route", json.dumps(decoded))

    def test_malformed_compressed_answers_are_errors(self):
        headers = {b"content-encoding": b"deflate"}
        truncated = zlib.compress(b'{"items": []}')[:-8]
        for body in (b"no deflate", truncated):
            self.assertRaises(PlatformError, decode_reply, "list", 200, headers, body)

    def test_watch_is_answered_by_the_next_change(self):
        answers = self.call("?watch=10&wait_ms=1000")
        self.assertEqual([], answers)
        self.mirror.apply((make_object("a", 12, deleted=True),), 12)
        body = self.body(answers)
        self.assertEqual(
            (True, 12), (body["events"][0]["tombstone"], body["current_rev"])
        )
        self.assertEqual(1, len(self.body(self.call())["items"]))

    def test_watch_without_a_change_ends_after_its_wait(self):
        answers = self.call("?watch=10&wait_ms=1000")
        self.timers.advance(1.01)
        self.assertEqual([], self.body(answers)["events"])

    def test_missed_changes_are_returned_at_once_and_in_order(self):
        self.mirror.apply((make_object("c", 11), make_object("d", 12)), 12)
        names = [
            event["object"]["meta"]["name"]
            for event in self.body(self.call("?watch=10&wait_ms=1000"))["events"]
        ]
        self.assertEqual(["c", "d"], names)

    def test_revision_of_a_more_recent_follower_does_not_decrease(self):
        answers = self.call("?watch=99&wait_ms=1000")
        self.timers.advance(1.01)
        self.assertEqual(99, self.body(answers)["current_rev"])

    def test_loss_of_the_store_ends_watches_and_refuses_followers(self):
        answers = self.call("?watch=10&wait_ms=1000")
        self.mirror.set_fresh(False)
        self.assertEqual(503, answers[0].status)
        self.assertEqual(503, self.call()[0].status)
        self.assertEqual(503, self.call("?watch=10&wait_ms=9")[0].status)

    def test_instance_without_data_may_list_a_stale_copy(self):
        self.mirror.set_fresh(False)
        self.assertEqual(10, self.body(self.call("?any_age=1"))["current_rev"])
        empty_endpoints = MirrorEndpoints({"servers": KindMirror(self.timers)})
        answers = []
        target = "/api/objects/servers?any_age=1"
        request = CallerRequest("GET", target, "h", (), b"", "", None, 0.0)
        empty_endpoints.handle(request, answers.append)
        self.assertEqual(503, answers[0].status)

    def test_watch_before_the_bounded_history_is_refused(self):
        changes = tuple(
            make_object("x", 20 + n) for n in range(MAX_HISTORY_CHANGES + 5)
        )
        self.mirror.apply(changes, 5000)
        self.assertEqual(410, self.call("?watch=10&wait_ms=9")[0].status)

    def test_new_list_ends_watches_with_a_lost_history(self):
        answers = self.call("?watch=10&wait_ms=1000")
        self.mirror.replace_all(StoredList((), 50))
        self.assertEqual(410, answers[0].status)

    def test_unknown_kinds_and_malformed_calls_are_rejected(self):
        self.assertEqual(404, self.call(kind="member")[0].status)
        self.assertEqual(400, self.call("?watch=x")[0].status)
