"""Benchmarks of running processes."""

from __future__ import annotations
