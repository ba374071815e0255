"""Claims a non-idempotent request again even if it is already claimed."""

from __future__ import annotations

from almondspool import daemon
from almondspool.coordination.claims.claims import ClaimRules

ClaimRules._decide_existing = lambda rules, op, existing: None

if __name__ == "__main__":
    daemon.run()
