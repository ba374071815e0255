"""Connection shares: the part of each upstream's limit that an instance may use."""

from __future__ import annotations
