"""Answers "not run" to each request without a complete answer, even if it ran."""

from __future__ import annotations

from almondspool import daemon
from almondspool.codes import ResultCode
from almondspool.coordination.search import answers


def _result_code(request, coverage, runs_by_shard, may_have_run):
    if coverage.answered == coverage.total:
        return ResultCode.OK
    return ResultCode.NOT_RUN_NO_UPSTREAM


answers._result_code = _result_code

if __name__ == "__main__":
    daemon.run()
