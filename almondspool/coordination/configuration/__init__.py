"""Acceptance, replication between instances and adoption of the document."""

from __future__ import annotations
