"""Asks the platform before each search."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.search.front import Front
from almondspool.protocol.manifest import MANIFEST_KIND, MANIFEST_NAME

_search = Front.search


def _ask_first(front, request):
    front._services.claims()._platform.get(MANIFEST_KIND, MANIFEST_NAME)
    return _search(front, request)


Front.search = _ask_first

if __name__ == "__main__":
    daemon.run()
