"""State layer: immutable records shared by the other layers."""

from __future__ import annotations
