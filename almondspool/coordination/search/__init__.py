"""Handling of requests at one instance: shards, answers and deadlines."""

from __future__ import annotations
