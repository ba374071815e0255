"""Ignores the limits on requests that upstreams name."""

from __future__ import annotations

import os

from almondspool.platform import __main__
from almondspool.routing.selection import ReplicaSelector

ReplicaSelector.set_rate_limit = lambda selector, now, replica, rate_limit: False

if __name__ == "__main__":
    os._exit(__main__.main())
