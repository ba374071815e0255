"""Transport layer: sockets, channels, HTTP and timers."""

from __future__ import annotations
