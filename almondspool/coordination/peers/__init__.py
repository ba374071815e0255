"""Sending and dispatch of messages between instances."""

from __future__ import annotations
