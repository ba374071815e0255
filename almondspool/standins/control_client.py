"""Client of the stand-ins' control ports."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
import urllib3

from almondspool.standins.faults import Fault

CONTROL_TIMEOUT_S = 5.0


class ControlError(Exception):
    """A control port refused a request."""


class ControlClient:
    """Sets faults and reads journals of one stand-in process."""

    def __init__(self, control_address: str, http: urllib3.PoolManager) -> None:
        """Use the control port at ``ip:port``."""
        self._base_url = f"http://{control_address}/control"
        self._http = http

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Replace the active faults by these."""
        self._request("PUT", "faults", list(faults))

    def clear_faults(self) -> None:
        """Clear every fault."""
        self._request("DELETE", "faults")

    def journal(self) -> dict[str, Any]:
        """Return the journal: entries, dropped and, of searchers, connections."""
        return self._request("GET", "journal")

    def clear_journal(self) -> None:
        """Clear the journal's entries and reset the connection counts."""
        self._request("DELETE", "journal")

    def counters(self) -> dict[str, Any]:
        """Return call counts: total, by_name, by_second, peak_per_s, elapsed_s."""
        return self._request("GET", "counters")

    def change_searcher(self, upstream_id: str, **state: object) -> None:
        """Change draining, down or snapshots of a searcher."""
        self._request("PUT", f"searchers/{upstream_id}", state)

    def set_instances(self, instances: Sequence[dict[str, object]]) -> None:
        """Set the platform's instance list, which is visible after its lag."""
        self._request("PUT", "instances", list(instances))

    def _request(self, method: str, path: str, value: object = None) -> Any:
        response = self._http.request(
            method,
            f"{self._base_url}/{path}",
            body=None if value is None else msgspec.json.encode(value),
            timeout=CONTROL_TIMEOUT_S,
            retries=False,
        )
        if response.status != 200:
            raise ControlError(f"{method} {path}: {response.data.decode()}")
        return msgspec.json.decode(response.data)
