"""Overwrites objects whatever version the platform has."""

from __future__ import annotations

from almondspool import daemon
from almondspool.codes import ResultCode
from almondspool.protocol.http_platform import HttpPlatform

_put = HttpPlatform.put


def _put_unconditionally(platform, kind, name, value, expected_version):
    result = _put(platform, kind, name, value, expected_version)
    error = result.swap().value_or(None)
    if error is None or error.code is not ResultCode.PLATFORM_CONFLICT:
        return result
    return _put(platform, kind, name, value, error.current_version)


HttpPlatform.put = _put_unconditionally

if __name__ == "__main__":
    daemon.run()
