"""Stand-ins for the outside systems, for the demo, tests and benchmarks."""

from __future__ import annotations
