"""Calls to the platform's store: counted, capped and cut off when it is away."""

from __future__ import annotations
