"""Runs a non-idempotent request without a claim if the platform is unavailable."""

from __future__ import annotations

import math

from almondspool import daemon
from almondspool.codes import ResultCode
from almondspool.coordination.claims.claims_task import ClaimsTask

_claim = ClaimsTask.claim


def _claim_or_proceed(task, request, timeout_s):
    decision = _claim(task, request, timeout_s)
    if decision.code is not ResultCode.NOT_RUN_PLATFORM_DOWN:
        return decision
    return decision._replace(code=ResultCode.OK, is_claimed=True, send_before=math.inf)


ClaimsTask.claim = _claim_or_proceed

if __name__ == "__main__":
    daemon.run()
