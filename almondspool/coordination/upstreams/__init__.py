"""Upstreams as one instance sees them: legs, latencies, replicas and loads."""

from __future__ import annotations
