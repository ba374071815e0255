"""Protocol layer: typed messages, codecs and interfaces to outside systems."""

from __future__ import annotations
