"""Membership of the instances, and the choice of the instance for a duty."""

from __future__ import annotations
