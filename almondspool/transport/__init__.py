"""Transport: sockets, peer channels, HTTP, timers and metrics."""

from __future__ import annotations
