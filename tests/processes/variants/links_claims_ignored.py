"""The variant claims_ignored with links that can be cut."""

from __future__ import annotations

from almondspool.standins import links
from tests.processes.variants import claims_ignored  # noqa: F401

if __name__ == "__main__":
    links.run()
