"""Benchmarks of clusters of daemons and of single components."""

from __future__ import annotations
