"""Developer tools: test runner, generated tables and code statistics."""

from __future__ import annotations
