"""Which instances are there, and who holds a duty."""

from __future__ import annotations
