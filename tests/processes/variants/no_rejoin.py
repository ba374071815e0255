"""Serves after a freeze at once, without rejoining the other instances."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.membership.membership import Membership

Membership.may_act = lambda membership, now: membership.own.ready
Membership._check_gap = lambda membership, now: []

if __name__ == "__main__":
    daemon.run()
