"""Adapter to the users' platform: its protocols, and the daemon that runs on it."""

from __future__ import annotations
