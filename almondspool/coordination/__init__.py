"""Coordination layer: decision logic without sockets or clocks."""

from __future__ import annotations
