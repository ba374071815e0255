"""Routing decisions for caller requests, without any network access of their own."""

from __future__ import annotations
