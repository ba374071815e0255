"""Waits for a claim until the deadline of its request."""

from __future__ import annotations

import math

from almondspool import daemon
from almondspool.coordination.claims.claim_latency import ClaimLatencyEstimate
from almondspool.coordination.search import request_handler

request_handler.CLAIM_TIMEOUT_S = math.inf
request_handler.CLAIM_TIME_SHARE = 1.0
ClaimLatencyEstimate.expected_s = lambda estimate, now: 0.0

if __name__ == "__main__":
    daemon.run()
