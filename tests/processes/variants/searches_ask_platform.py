"""Reads from the platform before each search."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.search.request_handler import RequestHandler
from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME

_search = RequestHandler.search


def _read_platform_first(handler, request):
    handler._dependencies.claims()._platform.get(MANIFEST_KIND, MANIFEST_NAME)
    return _search(handler, request)


RequestHandler.search = _read_platform_first

if __name__ == "__main__":
    daemon.run()
