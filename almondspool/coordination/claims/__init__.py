"""Claims, which keep a non-idempotent request from running twice."""

from __future__ import annotations
