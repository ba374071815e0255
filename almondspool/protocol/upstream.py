"""The upstreams' interface: legs, results and the exchange with a searcher."""

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
        request_id: The caller's request.
        team: The section searched.
        snapshot: The snapshot the leg must run on.
        shard: The shard to search.
        query: Required value by field name.
        deadline_ms: Time left for this leg, in milliseconds.
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
    """An upstream's own report; it can lag or mislead.

    Attributes:
        running: Legs in its slots.
        queued: Legs waiting.
        draining: Whether it asks for no new work.
        warmth: 0.0 just started to 1.0 warm.
    """

    running: int
    queued: int
    draining: bool
    warmth: float


class LegResult(NamedTuple):
    """What one upstream replied to one leg.

    Attributes:
        leg_id: The leg answered.
        code: OK, or one of the LEG codes.
        snapshot: The snapshot the upstream ran on.
        shard: The shard searched.
        records: Found records.
        upstream_id: Who ran it.
        detail: One line for people.
        was_run: Whether the upstream may have run the leg.
        load: The upstream's load report of that moment, if the reply brought one.
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
    """One exchange with an upstream; owns no policy."""

    @abc.abstractmethod
    def run(
        self, upstream: Upstream, legs: tuple[Leg, ...], timeout_s: float
    ) -> Iterator[LegResult]:
        """Send legs over one connection and yield each result as it arrives.

        Every leg yields exactly one result; a failure of the exchange yields a LEG
        code for each leg still open. Never raises for an upstream's fault.
        """

    @abc.abstractmethod
    def set_grants(self, connections_by_upstream_id: Mapping[str, int]) -> None:
        """Set how many connections may be open to each upstream; others get none."""

    @abc.abstractmethod
    def cancel(self, upstream: Upstream, leg_ids: tuple[str, ...]) -> None:
        """Tell an upstream that results are no longer wanted; best effort."""

    @abc.abstractmethod
    def load(self, upstream: Upstream, timeout_s: float) -> LoadReport | None:
        """Return the upstream's load report, or None if it gives none."""

    @abc.abstractmethod
    def retire(self, upstream_id: str) -> int:
        """Close the idle connections to an upstream and return how many."""
