"""Upstreams as seen by one instance: legs, latencies, replicas and load."""

from __future__ import annotations
