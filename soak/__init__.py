"""Randomized soak tests: check the guarantees on real processes under faults."""

from __future__ import annotations
