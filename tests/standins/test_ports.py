from __future__ import annotations

import os
from unittest import mock

import testtools

from almondspool.standins.ports import (
    HIGHEST_PORT,
    LOWEST_PORT,
    PORTS_VARIABLE,
    allowed_ports,
    format_ports,
    free_ports,
)

ALLOWED = range(20_000, 20_100)


class PortTests(testtools.TestCase):
    def test_without_the_variable_the_whole_range_is_allowed(self):
        with mock.patch.dict(os.environ):
            os.environ.pop(PORTS_VARIABLE, None)
            self.assertEqual(range(LOWEST_PORT, HIGHEST_PORT), allowed_ports())

    def test_free_ports_are_of_the_allowed_ones(self):
        value = format_ports(ALLOWED)
        with mock.patch.dict(os.environ, {PORTS_VARIABLE: value}):
            self.assertEqual(ALLOWED, allowed_ports())
            for _ in range(20):
                ports = free_ports(3)
                self.assertEqual(3, len(ports))
                self.assertLessEqual(set(ports), set(ALLOWED))
