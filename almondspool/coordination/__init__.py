"""Coordination layer: decisions without sockets or clocks."""

from __future__ import annotations
