"""The variant dead_shares_forgotten with links that can be cut."""

from __future__ import annotations

from almondspool.standins import links
from tests.processes.variants import dead_shares_forgotten  # noqa: F401

if __name__ == "__main__":
    links.run()
