from __future__ import annotations

import testtools

from almondspool.standins.ports import free_ports, loopback_address
from almondspool.transport.http_server import HttpServer


class ListenTests(testtools.TestCase):
    def test_listening_on_an_address_in_use_fails(self):
        address = loopback_address(free_ports(1).start)
        first = HttpServer(1024)
        first.listen(address)
        self.addCleanup(first.close)
        self.assertRaises(OSError, HttpServer(1024).listen, address)
