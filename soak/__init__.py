"""Randomized soak tests: the real programs, injected faults, checked guarantees."""

from __future__ import annotations
