"""Graceful shutdown of an instance."""

from __future__ import annotations
