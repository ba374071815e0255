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

VALID_BODY = {
    "request_id": "sweep-1",
    "team": "alert-desk",
    "query": {"suburb": "Maylands"},
}


class DecodeRequestTests(testtools.TestCase):
    def decode_error(self, body):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.assertRaises(RequestError, decode_request, data)

    def test_defaults(self):
        request = decode_request(json.dumps(VALID_BODY).encode())
        self.assertEqual(("sweep-1", ()), (request.request_id, request.services))
        self.assertTrue(request.idempotent)

    def test_invalid_bodies_give_their_code_and_the_field(self):
        invalid = ResultCode.FIELD_INVALID
        cases = [
            (b"{", ResultCode.REQUEST_MALFORMED, "truncated"),
            (b"\xff", ResultCode.REQUEST_MALFORMED, "malformed"),
            (b" " * (MAX_REQUEST_BYTES + 1), ResultCode.REQUEST_TOO_LARGE, "exceeds"),
            ({"team": "alert-desk"}, invalid, "request_id"),
            ({**VALID_BODY, "priority": "urgent"}, invalid, "priority"),
            ({**VALID_BODY, "deadline_ms": "soon"}, invalid, "deadline_ms"),
            ({**VALID_BODY, "deadline_ms": -1}, invalid, "deadline_ms"),
            ({**VALID_BODY, "query": {"suburb": 6000}}, invalid, "query"),
            ({**VALID_BODY, "request_id": ""}, invalid, "request_id"),
            ({**VALID_BODY, "idempotent": False}, invalid, "shard"),
            (
                {**VALID_BODY, "idempotent": False, "shard": "s"},
                invalid,
                "issued_at_ms",
            ),
            ([1], invalid, "object"),
        ]
        for body, code, expected_text in cases:
            error = self.decode_error(body)
            self.assertEqual(code, error.code, body)
            self.assertIn(expected_text, str(error))

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_raise_a_request_error(self, data):
        try:
            decode_request(data)
        except RequestError as error:
            self.assertEqual(1, error.code // 100)


class AnswerTests(testtools.TestCase):
    def test_coverage_that_counts_a_shard_twice_does_not_add_up(self):
        missing = (MissingShard("a", ShardOutcome.LATE, ResultCode.LEG_TIMEOUT),)
        self.assertTrue(Coverage(2, 1, 1, 0, 0, missing).is_consistent())
        self.assertFalse(Coverage(2, 2, 1, 0, 0, missing).is_consistent())
        self.assertFalse(Coverage(2, 1, 1, 0, 0).is_consistent())

    def test_statuses_distinguish_refusals_from_answers(self):
        self.assertEqual(200, http_status(ResultCode.PARTIAL))
        self.assertEqual(503, http_status(ResultCode.NOT_RUN_OVERLOADED))
        self.assertEqual(400, http_status(ResultCode.FIELD_INVALID))
        self.assertEqual(500, http_status(ResultCode.INTERNAL))
