"""Messages between instances: who sends them, who takes them."""

from __future__ import annotations
