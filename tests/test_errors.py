from __future__ import annotations

import errno

import testtools

from almondspool.codes import ResultCode
from almondspool.errors import AlmondspoolError, SettingsError, start_failure_code


class StartFailureCodeTests(testtools.TestCase):
    def test_only_an_address_in_use_is_reported_as_such(self):
        for error, code in (
            (OSError(errno.EADDRINUSE, "in use"), ResultCode.ADDRESS_IN_USE),
            (OSError(errno.EADDRNOTAVAIL, "no such"), ResultCode.START_FAILED),
            (PermissionError(errno.EACCES, "denied"), ResultCode.START_FAILED),
            (SettingsError("bad"), ResultCode.SETTINGS_INVALID),
            (AlmondspoolError("unexpected"), ResultCode.INTERNAL),
        ):
            self.assertIs(code, start_failure_code(error))
