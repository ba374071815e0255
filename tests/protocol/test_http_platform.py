from __future__ import annotations

import io

import testtools
import urllib3

from almondspool.codes import ResultCode
from almondspool.protocol.http_platform import HttpPlatform, make_http_platform
from almondspool.protocol.platform import MAX_VALUE_BYTES, PlatformObject

OBJECT = b'{"kind":"section","name":"a.1","version":7,"value":"dGVhbQ=="}'


class CannedPool:
    """Fake connection pool that returns one prepared response."""

    def __init__(self, status=200, body=b"{}", headers=None, error=None):
        self.requests = []
        self._reply = (status, body, headers or {})
        self._error = error
        self.is_closed = False

    def close(self):
        self.is_closed = True

    def urlopen(self, method, url, **options):
        self.requests.append((method, url, options["body"]))
        if self._error is not None:
            raise self._error
        status, body, headers = self._reply
        return urllib3.HTTPResponse(
            io.BytesIO(body), status=status, headers=headers, preload_content=False
        )


def make_canned_platform(*pools):
    remaining = list(pools)
    return HttpPlatform(lambda: remaining.pop(0), 1.0)


def code_of(result):
    return result.failure().code


class HttpPlatformTests(testtools.TestCase):
    def test_get(self):
        pool = CannedPool(body=OBJECT)
        found = make_canned_platform(pool).get("section", "a.1").unwrap()
        self.assertEqual(PlatformObject("section", "a.1", 7, b"team"), found)
        self.assertEqual([("GET", "/v1/objects/section/a.1", None)], pool.requests)

    def test_names_are_quoted(self):
        pool = CannedPool(404)
        result = make_canned_platform(pool).get("section", "../a?b")
        self.assertEqual("/v1/objects/section/..%2Fa%3Fb", pool.requests[0][1])
        self.assertEqual(ResultCode.PLATFORM_NOT_FOUND, code_of(result))

    def test_put_gives_version_and_value(self):
        pool = CannedPool(body=b'{"kind":"section","name":"a","version":3}')
        written = make_canned_platform(pool).put("section", "a", b"text", 2).unwrap()
        self.assertEqual(PlatformObject("section", "a", 3, b"text"), written)
        expected = ("PUT", "/v1/objects/section/a?expected=2", b"text")
        self.assertEqual([expected], pool.requests)

    def test_conflict_gives_the_current_version(self):
        pool = CannedPool(409, b'{"version": 12}')
        error = make_canned_platform(pool).put("section", "a", b"", 2).failure()
        self.assertEqual(ResultCode.PLATFORM_CONFLICT, error.code)
        self.assertEqual(12, error.current_version)

    def test_statuses_map_to_codes(self):
        code_by_status = {
            410: ResultCode.PLATFORM_HISTORY_GONE,
            413: ResultCode.REQUEST_TOO_LARGE,
            429: ResultCode.PLATFORM_RATE_LIMITED,
            503: ResultCode.PLATFORM_UNAVAILABLE,
            302: ResultCode.PLATFORM_REPLY_INVALID,
        }
        for status, code in code_by_status.items():
            pool = CannedPool(status, headers={"Retry-After": "2"})
            error = make_canned_platform(pool).watch("section", 0, 1.0).failure()
            self.assertEqual((code, 2.0), (error.code, error.retry_after_s))

    def test_lost_connection_is_unavailable(self):
        pool = CannedPool(error=urllib3.exceptions.ProtocolError("cut"))
        platform = make_canned_platform(pool, CannedPool(body=OBJECT))
        result = platform.put("section", "a", b"", 0)
        self.assertEqual(ResultCode.PLATFORM_UNAVAILABLE, code_of(result))
        self.assertTrue(pool.is_closed)
        self.assertEqual(7, platform.get("section", "a.1").unwrap().version)

    def test_oversized_value_is_not_sent(self):
        pool = CannedPool()
        value = b"x" * (MAX_VALUE_BYTES + 1)
        result = make_canned_platform(pool).put("section", "a", value, 0)
        self.assertEqual(ResultCode.REQUEST_TOO_LARGE, code_of(result))
        self.assertEqual([], pool.requests)

    def test_invalid_replies_are_refused(self):
        invalid_replies = (
            b"",
            b"{not json",
            OBJECT[:40],
            OBJECT.replace(b'"a.1"', b'"other"'),
            OBJECT.replace(b"7", b"-7"),
            OBJECT.replace(b"dGVhbQ==", b"%%%"),
            b'{"kind":"section","name":"a.1","version":7}',
        )
        for body in invalid_replies:
            result = make_canned_platform(CannedPool(body=body)).get("section", "a.1")
            self.assertEqual(ResultCode.PLATFORM_REPLY_INVALID, code_of(result), body)

    def test_watch_never_resumes_from_an_older_version(self):
        pool = CannedPool(body=b'{"version": 4, "events": []}')
        platform = make_canned_platform(pool)
        self.assertEqual(4, platform.watch("manifest", 4, 2.5).unwrap().version)
        self.assertEqual("/v1/watch/manifest?after=4&wait_ms=2500", pool.requests[0][1])
        result = platform.watch("manifest", 5, 1.0)
        self.assertEqual(ResultCode.PLATFORM_REPLY_INVALID, code_of(result))

    def test_instances(self):
        body = b'{"instances":[{"instance":"perth-1","address":"127.0.0.1:1",'
        body += b'"zone":"perth-north","leaving":true}]}'
        listing = make_canned_platform(CannedPool(body=body)).list_instances().unwrap()
        self.assertEqual("perth-1", listing[0].instance)
        self.assertTrue(listing[0].leaving)

    def test_refused_port_is_unavailable(self):
        result = make_http_platform("127.0.0.1:1", 0.5).list_instances()
        self.assertEqual(ResultCode.PLATFORM_UNAVAILABLE, code_of(result))
