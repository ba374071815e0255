"""Request admission and backlog monitoring."""

from __future__ import annotations
