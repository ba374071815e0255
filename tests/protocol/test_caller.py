from __future__ import annotations

import json

import testtools
from hypothesis import given, settings, strategies as st

from almondspool.codes import ResultCode
from almondspool.errors import RequestError
from almondspool.protocol.caller import (
    MAX_REQUEST_BYTES,
    Coverage,
    MissingShard,
    ShardOutcome,
    decode_request,
    http_status,
)

GOOD = {"request_id": "sweep-1", "team": "alert-desk", "query": {"suburb": "Maylands"}}


class DecodeRequestTests(testtools.TestCase):
    def refuse(self, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.assertRaises(RequestError, decode_request, data)

    def test_defaults_fill_in(self):
        request = decode_request(json.dumps(GOOD).encode())
        self.assertEqual(("sweep-1", ()), (request.request_id, request.services))
        self.assertTrue(request.idempotent)

    def test_each_bad_body_has_its_code_and_names_the_field(self):
        invalid = ResultCode.FIELD_INVALID
        cases = [
            (b"{", ResultCode.REQUEST_MALFORMED, "truncated"),
            (b"\xff", ResultCode.REQUEST_MALFORMED, "malformed"),
            (b" " * (MAX_REQUEST_BYTES + 1), ResultCode.REQUEST_TOO_LARGE, "exceeds"),
            ({"team": "alert-desk"}, invalid, "request_id"),
            ({**GOOD, "priority": "urgent"}, invalid, "priority"),
            ({**GOOD, "deadline_ms": "soon"}, invalid, "deadline_ms"),
            ({**GOOD, "deadline_ms": -1}, invalid, "deadline_ms"),
            ({**GOOD, "query": {"suburb": 6000}}, invalid, "query"),
            ({**GOOD, "request_id": ""}, invalid, "request_id"),
            ({**GOOD, "idempotent": False}, invalid, "shard"),
            ({**GOOD, "idempotent": False, "shard": "s"}, invalid, "issued_at_ms"),
            ([1], invalid, "object"),
        ]
        for body, code, named in cases:
            error = self.refuse(body)
            self.assertEqual(code, error.code, body)
            self.assertIn(named, str(error))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_refused_by_a_request_error_or_decoded(self, data):
        try:
            decode_request(data)
        except RequestError as error:
            self.assertEqual(1, error.code // 100)


class AnswerTests(testtools.TestCase):
    def test_coverage_that_counts_a_shard_twice_does_not_add_up(self):
        missing = (MissingShard("a", ShardOutcome.LATE, ResultCode.LEG_TIMEOUT),)
        self.assertTrue(Coverage(2, 1, 1, 0, 0, missing).adds_up())
        self.assertFalse(Coverage(2, 2, 1, 0, 0, missing).adds_up())
        self.assertFalse(Coverage(2, 1, 1, 0, 0).adds_up())

    def test_statuses_tell_refusals_from_answers(self):
        self.assertEqual(200, http_status(ResultCode.PARTIAL))
        self.assertEqual(503, http_status(ResultCode.NOT_RUN_OVERLOADED))
        self.assertEqual(400, http_status(ResultCode.FIELD_INVALID))
        self.assertEqual(500, http_status(ResultCode.INTERNAL))
