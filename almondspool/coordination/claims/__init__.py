"""Claims, so that a request which must not run twice does not."""

from __future__ import annotations
