"""Immutable records shared by the other layers."""

from __future__ import annotations
