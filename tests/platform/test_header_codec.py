from __future__ import annotations

import testtools

from almondspool.errors import RequestError
from almondspool.platform.header_codec import MAX_RETRY_AFTER_S, PlatformHeaderCodec
from almondspool.protocol.exchange import (
    CallerRequest,
    CoverageSummary,
    LegOutcome,
    LegReply,
)

HEADERS = (
    (b"Host", b"Shop.example"),
    (b"Request-Id", b"r1"),
    (b"Deadline-Ms", b"1200"),
    (b"Connection", b"keep-alive, X-Hop"),
    (b"X-Hop", b"1"),
    (b"Transfer-Encoding", b"chunked"),
    (b"Expected-Instance", b"forged"),
    (b"X-Keep", b"a"),
    (b"x-keep", b"b"),
)


def make_request(headers=HEADERS, body=b""):
    return CallerRequest(
        "POST", "/a/%41?q=1", "shop.example", headers, body, "r1", 1.2, 0.0
    )


class PlatformHeaderCodecTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.codec = PlatformHeaderCodec()

    def test_id_and_deadline_are_read(self):
        self.assertEqual(("r1", 1.2), self.codec.decode_request_headers(HEADERS))
        self.assertEqual(("", None), self.codec.decode_request_headers(()))

    def test_malformed_deadlines_are_rejected(self):
        for value in (b"soon", b"-1", b"nan", b"inf", b""):
            headers = ((b"deadline-ms", value),)
            self.assertRaises(RequestError, self.codec.decode_request_headers, headers)

    def test_repeated_id_is_rejected(self):
        headers = ((b"Request-Id", b"a"), (b"request-id", b"b"))
        self.assertRaises(RequestError, self.codec.decode_request_headers, headers)

    def test_request_head_keeps_all_but_hop_by_hop_headers(self):
        head = self.codec.encode_request_head(make_request())
        self.assertEqual(
            b"POST /a/%41?q=1 HTTP/1.1\r\nHost: Shop.example\r\nRequest-Id: r1\r\n"
            b"X-Keep: a\r\nx-keep: b\r\n",
            head,
        )

    def test_connection_header_cannot_remove_host_and_id(self):
        headers = (
            (b"Host", b"h"),
            (b"Request-Id", b"r1"),
            (b"Connection", b"host, request-id"),
        )
        head = self.codec.encode_request_head(make_request(headers))
        self.assertIn(b"Host: h", head)
        self.assertIn(b"Request-Id: r1", head)

    def test_headers_of_one_send(self):
        self.assertEqual(
            b"Content-Length: 3\r\nDeadline-Ms: 250\r\nExpected-Instance: i-1\r\n\r\n",
            self.codec.encode_send_headers("i-1", 0.2505, 3),
        )
        self.assertIn(
            b"Deadline-Ms: 1\r\n", self.codec.encode_send_headers("i-1", -3.0, 0)
        )

    def test_reply_metadata(self):
        metadata = self.codec.decode_reply_headers(
            200,
            [
                (b"request-id", b"r1"),
                (b"Response-Signature", b"s1"),
                (b"Server-Load", b"3,1,8"),
                (b"Keep-Alive", b"timeout=10, max=5"),
            ],
        )
        self.assertEqual(("r1", b"s1"), (metadata.request_id, metadata.signature))
        self.assertEqual((3, 1, 8), metadata.load)
        self.assertEqual(10.0, metadata.keep_alive_s)
        self.assertFalse(metadata.is_not_run)

    def test_malformed_load_is_ignored(self):
        for value in (
            b"",
            b"1,2",
            b"a,b,c",
            b"1,2,3,4",
            b"1,0,0",
            b"-1,0,2",
            b"2,-1,2",
            b"2,1000000,2",
            b"1,nan,2",
        ):
            metadata = self.codec.decode_reply_headers(200, [(b"Server-Load", value)])
            self.assertIsNone(metadata.load)
            self.assertEqual("load_malformed", metadata.hints.kind)

    def test_missing_load_is_no_hint(self):
        metadata = self.codec.decode_reply_headers(200, [])
        self.assertIsNone(metadata.load)
        self.assertEqual("", metadata.hints.kind)

    def test_rejection_and_misdirection(self):
        self.assertTrue(
            self.codec.decode_reply_headers(503, [(b"Not-Executed", b"1")]).is_not_run
        )
        self.assertTrue(self.codec.decode_reply_headers(421, []).is_misdirected)

    def test_forwarded_reply_keeps_all_but_hop_by_hop_headers(self):
        reply = LegReply(
            LegOutcome.ANSWERED,
            200,
            (
                (b"Request-Id", b"r1"),
                (b"Response-Signature", b"s1"),
                (b"Content-Length", b"3"),
                (b"Keep-Alive", b"timeout=10"),
                (b"Server-Load", b"1,0,2"),
                (b"Content-Type", b"text/x"),
            ),
        )
        names = [name for name, _ in self.codec.forwarded_headers(reply)]
        self.assertEqual([b"Request-Id", b"Response-Signature", b"Content-Type"], names)

    def test_coverage_headers_list_signatures_and_count_missing_shards(self):
        headers = dict(self.codec.coverage_headers(CoverageSummary((b"a", b"b"), 1)))
        self.assertEqual(b"a, b", headers[b"Part-Stamps"])
        self.assertEqual(b"1", headers[b"Missing-Shards"])


class UpstreamHintTests(testtools.TestCase):
    def hints(self, status, *headers):
        return PlatformHeaderCodec().decode_reply_headers(status, headers).hints

    def test_leaving_is_read_from_any_status(self):
        for status in (200, 500, 503, 421):
            self.assertTrue(self.hints(status, (b"server-leaving", b"1")).is_leaving)
        for value in (b"0", b"", b"true"):
            self.assertFalse(self.hints(200, (b"Server-Leaving", value)).is_leaving)

    def test_backoff_is_read_from_status_503_only(self):
        for status, backoff_s in ((503, 2.0), (200, 0.0), (429, 0.0), (500, 0.0)):
            hints = self.hints(status, (b"Retry-After", b"2"))
            self.assertEqual(backoff_s, hints.backoff_s)

    def test_retry_after_has_a_limit_and_a_kind_for_metrics(self):
        for value, backoff_s, kind in (
            (b"2", 2.0, "rest"),
            (b"0.25", 0.25, "rest"),
            (b" 1 ", 1.0, "rest"),
            (b"0", 0.0, "rest"),
            (b"-1", 0.0, "rest_negative"),
            (b"nan", 0.0, "rest_negative"),
            (b"1e9", MAX_RETRY_AFTER_S, "rest_too_long"),
            (b"inf", MAX_RETRY_AFTER_S, "rest_too_long"),
            (b"Fri, 04 Dec 2026 10:00:00 GMT", 0.0, "rest_is_date"),
            (b"soon", 0.0, "rest_malformed"),
            (b"", 0.0, "rest_malformed"),
            (b"\xff", 0.0, "rest_malformed"),
        ):
            hints = self.hints(503, (b"Retry-After", value))
            self.assertEqual((backoff_s, kind), (hints.backoff_s, hints.kind), value)
        self.assertEqual("no_rest", self.hints(503).kind)

    def test_limit_on_requests_is_decoded_from_every_status(self):
        for status in (200, 404, 500, 503):
            hints = self.hints(status, (b"Server-Limit", b"7.5"))
            self.assertEqual(7.5, hints.rate_limit)
        self.assertEqual("limit", self.hints(200, (b"server-limit", b"3")).kind)
        self.assertIsNone(self.hints(200).rate_limit)
        leaving = self.hints(200, (b"Server-Limit", b"3"), (b"Server-Leaving", b"1"))
        self.assertEqual((True, 3.0), (leaving.is_leaving, leaving.rate_limit))

    def test_unusable_limits_on_requests_are_counted_and_ignored(self):
        for value in (b"0", b"-1", b"nan", b"1e400", b"inf", b"many", b"", b"1,5"):
            hints = self.hints(200, (b"Server-Limit", value))
            self.assertIsNone(hints.rate_limit)
            self.assertTrue(hints.is_rate_limit_malformed)
            self.assertEqual("limit_malformed", hints.kind)

    def test_leaving_header_is_not_forwarded_to_callers(self):
        headers = ((b"Server-Leaving", b"1"), (b"X-Kept", b"1"))
        reply = LegReply(LegOutcome.ANSWERED, 200, headers)
        forwarded = PlatformHeaderCodec().forwarded_headers(reply)
        self.assertEqual(((b"X-Kept", b"1"),), forwarded)
