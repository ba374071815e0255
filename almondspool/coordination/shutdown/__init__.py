"""The planned stop of an instance."""

from __future__ import annotations
