"""Leaves without notifying the other instances."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.membership.membership import Membership

Membership.leave = lambda membership, now: []

if __name__ == "__main__":
    daemon.run()
