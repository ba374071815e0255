"""Client of the control ports of the stand-in processes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
import urllib3

from almondspool.standins.faults import Fault

CONTROL_TIMEOUT_S = 5.0


class ControlError(Exception):
    """A control port answered with another status than 200."""


class ControlClient:
    """Sets faults, reads the journal and changes the state of one stand-in process."""

    def __init__(self, control_address: str, http: urllib3.PoolManager) -> None:
        """Use the control port at an ``ip:port`` address."""
        self._base_url = f"http://{control_address}/control"
        self._http = http

    def set_faults(self, faults: Sequence[Fault]) -> None:
        """Replace the active faults by these."""
        self._request("PUT", "faults", list(faults))

    def clear_faults(self) -> None:
        """Clear every fault."""
        self._request("DELETE", "faults")

    def journal(self) -> dict[str, Any]:
        """Return the journal.

        Its keys are ``entries``, ``dropped`` (the number of entries above the limit)
        and, for a searcher process, ``connections`` (counts by upstream id).
        """
        return self._request("GET", "journal")

    def clear_journal(self) -> None:
        """Clear the journal's entries and reset the connection counts."""
        self._request("DELETE", "journal")

    def counters(self) -> dict[str, Any]:
        """Return the call counts, as CallCounters.as_json_value() builds them."""
        return self._request("GET", "counters")

    def change_searcher(self, upstream_id: str, **state: object) -> None:
        """Change the given parts of a searcher's state; the others stay.

        Args:
            upstream_id: The searcher.
            state: ``draining`` (whether it refuses new legs), ``down`` (whether its
                port is closed) or ``snapshots`` (the ids of those it serves).
        """
        self._request("PUT", f"searchers/{upstream_id}", state)

    def set_instances(self, instances: Sequence[dict[str, object]]) -> None:
        """Set the platform's instance list; callers see it after the listing lag."""
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
            raise ControlError(
                f"control port refused {method} {path}: {response.data.decode()}"
            )
        return msgspec.json.decode(response.data)
