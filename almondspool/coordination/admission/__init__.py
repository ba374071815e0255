"""Which requests run, which wait, and the warning of a backlog."""

from __future__ import annotations
