"""Ignores that upstreams say in their answers that they leave."""

from __future__ import annotations

import os

from almondspool.platform import __main__
from almondspool.routing.replicas import ReplicaRegistry

ReplicaRegistry.on_leaving = lambda registry, now, replica, request_id: None

if __name__ == "__main__":
    os._exit(__main__.main())
