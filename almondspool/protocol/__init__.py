"""Protocol layer: typed messages, codecs and the outside interfaces."""

from __future__ import annotations
