"""Says "not run" of each request without a whole answer, whether it ran or not."""

from __future__ import annotations

from almondspool import daemon
from almondspool.codes import ResultCode
from almondspool.coordination.search import answers


def _code_of(request, coverage, runs_by_shard, has_run):
    if coverage.answered == coverage.total:
        return ResultCode.OK
    return ResultCode.NOT_RUN_NO_UPSTREAM


answers._code_of = _code_of

if __name__ == "__main__":
    daemon.run()
