"""Searches and single requests of one instance: their shards, answers and deadlines."""

from __future__ import annotations
