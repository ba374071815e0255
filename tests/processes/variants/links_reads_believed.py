"""Serves the document that it reads from the platform without confirming it."""

from __future__ import annotations

from almondspool.coordination.configuration.readiness import Readiness
from almondspool.standins import links

Readiness._is_confirmed = lambda readiness, generation, peers: True

if __name__ == "__main__":
    links.run()
