"""What operators are told of one instance and of all."""

from __future__ import annotations
