"""Status of one instance and of the fleet, for operators."""

from __future__ import annotations
