from __future__ import annotations

import json

import eventlet
import testtools
from returns.pipeline import is_successful

from almondspool.codes import ResultCode
from almondspool.errors import PlatformError
from almondspool.platform import store as store_module
from almondspool.platform.object_store_platform import ObjectStorePlatform
from almondspool.platform.store import (
    MAX_RETRY_AFTER_S,
    ObjectStoreClient,
    StorePosition,
)
from tests.transport.scripted_peer import ScriptedServer, unused_address


def http_reply(status, body, extra_headers=b""):
    data = json.dumps(body).encode()
    return (
        b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%sContent-Length: %d"
        b"\r\n\r\n%s" % (status, extra_headers, len(data), data)
    )


def object_json(name, revision, spec=None):
    return {"meta": {"name": name, "revision": revision}, "spec": spec, "status": None}


class ObjectStoreClientTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.requests = []
        self.replies = []
        self.server = ScriptedServer(self.answer_request)
        self.addCleanup(self.server.close)
        self.recorded_calls = []
        self.store = ObjectStoreClient(
            self.server.address,
            lambda verb, code: self.recorded_calls.append((verb, code)),
        )
        # Ends a test that hangs; no assertion depends on this time.
        test_timeout = eventlet.Timeout(30)
        self.addCleanup(test_timeout.cancel)

    def answer_request(self, connection, data):
        self.requests.append(data)
        reply = self.replies.pop(0)
        if reply is None:
            return
        connection.write(reply)

    def request_lines(self):
        return [call.split(b"\r\n")[0].decode() for call in self.requests]

    def replace(self, spec, revision):
        return self.store.replace("mine", "k", spec, StorePosition(0, revision))

    def error_of(self, reply, call=None):
        self.replies = [reply]
        call = call or (lambda: self.store.get("config", "main"))
        return self.assertRaises(PlatformError, call)

    def test_list_reads_all_pages_and_keeps_the_first_revision(self):
        self.replies = [
            http_reply(
                200,
                {"items": [object_json("a", 3)], "has_more": True, "current_rev": 9},
            ),
            http_reply(200, {"items": [object_json("b", 4)], "current_rev": 12}),
        ]
        listed = self.store.list("servers")
        self.assertEqual(["a", "b"], [each.name for each in listed.objects])
        self.assertEqual(9, listed.revision)
        self.assertEqual(
            "GET /api/objects/servers?after=a HTTP/1.1", self.request_lines()[1]
        )
        self.assertEqual(1, len(self.server.connections))

    def test_pages_of_two_histories_are_no_list(self):
        page = {"items": [object_json("a", 3)], "has_more": True, "current_rev": 9}
        self.replies = [
            http_reply(200, page, b"Store-Era: 1\r\n"),
            http_reply(200, {"items": [], "current_rev": 7}, b"Store-Era: 2\r\n"),
        ]
        error = self.assertRaises(PlatformError, lambda: self.store.list("servers"))
        self.assertEqual(ResultCode.PLATFORM_HISTORY_GONE, error.code)

    def test_answer_without_a_history_belongs_to_the_newest_known(self):
        page = {"items": [], "current_rev": 9}
        self.replies = [
            http_reply(200, page, b"Store-Era: 4\r\n"),
            http_reply(200, page, b"Store-Era: x\r\n"),
            http_reply(200, page),
        ]
        lists = [self.store.list("servers") for _ in range(3)]
        self.assertEqual([4, 4, 4], [listed.history for listed in lists])

    def test_watch_sends_its_wait_in_whole_milliseconds(self):
        event = {"object": object_json("a", 10, {"x": 1}), "tombstone": True}
        self.replies = [http_reply(200, {"events": [event], "current_rev": 11})]
        events, revision = self.store.watch("servers", StorePosition(0, 9), 2.5)
        self.assertEqual(
            ["GET /api/objects/servers?watch=9&wait_ms=2500 HTTP/1.1"],
            self.request_lines(),
        )
        self.assertEqual(
            (True, {"x": 1}, 11), (events[0].is_deleted, events[0].spec, revision)
        )

    def test_writes_send_revision_and_content(self):
        self.replies = [
            http_reply(201, object_json("k", 5)),
            http_reply(200, object_json("k", 6)),
        ]
        self.assertEqual(5, self.store.create("mine", "k", {"v": 1}).revision)
        self.assertEqual(6, self.replace({"v": 2}, 5).revision)
        self.assertEqual("POST /api/objects/mine HTTP/1.1", self.request_lines()[0])
        body = json.loads(self.requests[1].split(b"\r\n\r\n")[1])
        self.assertEqual({"name": "k", "revision": 5}, body["meta"])

    def test_statuses_map_to_result_codes(self):
        for status, code in (
            (404, ResultCode.PLATFORM_NOT_FOUND),
            (409, ResultCode.PLATFORM_CONFLICT),
            (410, ResultCode.PLATFORM_HISTORY_GONE),
            (429, ResultCode.PLATFORM_RATE_LIMITED),
            (500, ResultCode.PLATFORM_UNAVAILABLE),
            (503, ResultCode.PLATFORM_UNAVAILABLE),
        ):
            self.assertIs(code, self.error_of(http_reply(status, {})).code)
        self.assertEqual(
            ("get", ResultCode.PLATFORM_UNAVAILABLE), self.recorded_calls[-1]
        )

    def test_errors_carry_the_current_revision_and_the_retry_delay(self):
        self.assertEqual(
            7, self.error_of(http_reply(409, object_json("k", 7))).current_version
        )
        reply = http_reply(429, {}, b"Retry-After: 0.5\r\n")
        self.assertEqual(0.5, self.error_of(reply).retry_after_s)

    def test_retry_delay_is_bounded(self):
        for value, delay_s in (
            (b"inf", MAX_RETRY_AFTER_S),
            (b"1e300", MAX_RETRY_AFTER_S),
            (b"nan", 0.0),
            (b"-1", 0.0),
            (b"soon", 0.0),
        ):
            reply = http_reply(429, {}, b"Retry-After: " + value + b"\r\n")
            self.assertEqual(delay_s, self.error_of(reply).retry_after_s)

    def test_malformed_replies_are_errors(self):
        for reply in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{x}",
            http_reply(200, []),
            http_reply(200, {"items": 5, "current_rev": 1}),
            http_reply(200, {"items": [{"meta": None}], "current_rev": 1}),
            http_reply(200, {"items": []}),
        ):
            error = self.error_of(reply, lambda: self.store.list("servers"))
            self.assertIs(ResultCode.PLATFORM_REPLY_INVALID, error.code)
        self.error_of(b"garbage\r\n\r\n")

    def test_truncated_reply_and_refused_connection(self):
        def truncate_reply(connection, _):
            connection.write(http_reply(200, object_json("main", 5))[:-4])
            connection.close()

        self.server._script = truncate_reply
        server = ScriptedServer(truncate_reply)
        self.addCleanup(server.close)
        for address in (server.address, unused_address()):
            store = ObjectStoreClient(address, lambda *_: None)
            error = self.assertRaises(PlatformError, store.get, "config", "main")
            self.assertIs(ResultCode.PLATFORM_UNAVAILABLE, error.code)

    def test_timeout_closes_the_connection(self):
        self.patch(store_module, "CALL_TIMEOUT_S", 0.05)
        self.replies = [None, http_reply(200, object_json("main", 5))]
        self.assertRaises(
            PlatformError,
            lambda: self.store._call("get", "GET", "/x", {}, None, 0.05),
        )
        self.assertEqual(5, self.store.get("config", "main").revision)
        self.assertEqual(2, len(self.server.connections))

    def test_values_are_stored_as_bytes_under_a_prefixed_kind(self):
        platform = ObjectStorePlatform(self.store)
        self.replies = [http_reply(201, object_json("n", 5, {"value": "AAH/"}))]
        written = platform.put("member", "n", b"\x00\x01\xff", 0).unwrap()
        self.assertEqual((b"\x00\x01\xff", 5), (written.value, written.version))
        self.assertIn("POST /api/objects/almondspool-member ", self.request_lines()[0])
        self.replies = [http_reply(200, object_json("n", 5, {"value": "!"}))]
        self.assertFalse(is_successful(platform.get("member", "n")))
