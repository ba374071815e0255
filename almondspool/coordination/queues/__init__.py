"""Order, limits and measured rates of queues, for admission and upstreams."""

from __future__ import annotations
