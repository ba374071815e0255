"""Each instance's part of every upstream's connections."""

from __future__ import annotations
