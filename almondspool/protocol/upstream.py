"""Interface to the upstreams: legs, their results and the exchanges that run them."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.protocol.caller import Record

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from almondspool.state.document import Upstream


class Leg(NamedTuple):
    """The part of a request that one upstream runs.

    Attributes:
        leg_id: Unique among all instances; a reply must repeat it.
        request_id: The id of the caller's request.
        team: The team whose section is searched.
        snapshot: The snapshot on which the leg must run.
        shard: The shard to search.
        query: Required value by field name.
        deadline_ms: Remaining time for this leg, in milliseconds.
        idempotent: False for a leg that must run at most once.
    """

    leg_id: str
    request_id: str
    team: str
    snapshot: int
    shard: str
    query: dict[str, str]
    deadline_ms: int
    idempotent: bool = True


class LoadReport(NamedTuple):
    """Load as an upstream reports it; the report may be outdated or wrong.

    Attributes:
        running: Number of legs being run.
        queued: Number of legs that wait for a slot.
        draining: Whether it accepts no new work.
        warmth: From 0.0 (just started) to 1.0 (warm).
    """

    running: int
    queued: int
    draining: bool
    warmth: float


class LegResult(NamedTuple):
    """Result of one leg at one upstream.

    Attributes:
        leg_id: The leg's id.
        code: OK, SHARD_UNKNOWN or one of the LEG codes.
        snapshot: The snapshot on which the upstream ran the leg; 0 if not known.
        shard: The shard searched.
        records: Records found.
        upstream_id: The upstream that ran the leg.
        detail: Human-readable description in one line.
        was_run: Whether the upstream may have run the leg.
        load: The load report in the reply, or None.
    """

    leg_id: str
    code: ResultCode
    snapshot: int = 0
    shard: str = ""
    records: tuple[Record, ...] = ()
    upstream_id: str = ""
    detail: str = ""
    was_run: bool = True
    load: LoadReport | None = None


class UpstreamInterface(abc.ABC):
    """Runs exchanges with upstreams.

    The users of this interface choose the upstream and the time of each exchange.
    """

    @abc.abstractmethod
    def run(
        self, upstream: Upstream, legs: tuple[Leg, ...], timeout_s: float
    ) -> Iterator[LegResult]:
        """Send legs over one connection and yield each result as it arrives.

        Exactly one result is yielded for each leg. If the exchange fails, legs
        without a result get one with a LEG code; no fault of the upstream raises an
        exception.
        """

    @abc.abstractmethod
    def set_grants(self, connections_by_upstream_id: Mapping[str, int]) -> None:
        """Set how many connections may be open to each upstream; 0 if not given."""

    @abc.abstractmethod
    def cancel(self, upstream: Upstream, leg_ids: tuple[str, ...]) -> None:
        """Ask an upstream to stop running legs; best effort."""

    @abc.abstractmethod
    def fetch_load(self, upstream: Upstream, timeout_s: float) -> LoadReport | None:
        """Return the upstream's load report, or None without a valid reply."""

    @abc.abstractmethod
    def retire(self, upstream_id: str) -> int:
        """Close the connections to an upstream, those in use once they are released.

        Returns:
            The number of idle connections that were closed.
        """
