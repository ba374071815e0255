"""The operators' document: accepted, spread between instances, in force."""

from __future__ import annotations
