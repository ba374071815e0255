"""Calls to the platform: counted, rate-limited and behind a circuit breaker."""

from __future__ import annotations
