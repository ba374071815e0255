"""Query tier that routes and coordinates searches over many shards."""

from __future__ import annotations

__version__ = "0.1.0"
