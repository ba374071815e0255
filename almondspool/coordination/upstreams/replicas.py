"""Choice of the replica that runs a leg: the best of a few random ones.

Two random replicas are compared, plus one of the local availability zone if neither is
in it: with two alone, a third of the legs of three replicas would go to another zone.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from almondspool.codes import ResultCode
from almondspool.coordination.upstreams.latency import DecayedPeak, LatencyHistogram

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Sequence

    from almondspool.protocol.upstream import LoadReport
    from almondspool.state.document import Section, Upstream

# Latency assumed for an upstream without samples.
INITIAL_LATENCY_S = 0.010
MIN_SCORED_LATENCY_S = 0.0005
# Added to the score of an upstream in another availability zone.
CROSS_ZONE_PENALTY_S = 0.004
# Lower bound of the latency counted for a failed leg.
MIN_FAILURE_LATENCY_S = 0.5
# First and longest pause of an upstream that cannot be reached.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 16.0
# Lower bound of the latency counted for a leg that was shed.
MIN_SHED_LATENCY_S = 0.05
REPORT_LIFETIME_S = 5.0
# Share of the choices that use a new report; it falls to 0 over REPORT_LIFETIME_S.
MAX_REPORT_USE_SHARE = 0.75
MAX_REPORT_FACTOR = 2.0
DRAINING_LIFETIME_S = 5.0
# Time in which a new upstream without a recent report gets a growing share of legs.
RAMP_DURATION_S = 20.0
MIN_RAMP_SHARE = 0.1
HEDGE_QUANTILE = 0.97
MIN_HEDGE_SAMPLES = 20
MIN_HEDGE_DELAY_S = 0.002
DEFAULT_HEDGE_DELAY_S = 0.050
HEDGE_SIBLING_FACTOR = 2.0

_UNREACHABLE_CODES = frozenset(
    {
        ResultCode.LEG_REFUSED,
        ResultCode.LEG_CUT_OFF,
        ResultCode.LEG_REPLY_CUT_OFF,
        ResultCode.LEG_NO_HOLDER,
    }
)
# A timeout can be caused by a single silent connection, so it does not pause a replica.
_FAILURE_CODES = frozenset(
    {
        ResultCode.LEG_TIMEOUT,
        ResultCode.LEG_REPLY_MALFORMED,
        ResultCode.LEG_REPLY_OVERSIZED,
        ResultCode.LEG_FAILED,
    }
)


class Candidate(NamedTuple):
    """An upstream that was compared, and its score; the lowest score wins.

    Attributes:
        upstream_id: The upstream.
        score_s: Expected wait in seconds.
    """

    upstream_id: str
    score_s: float


class Choice(NamedTuple):
    """The result of a choice.

    Attributes:
        upstream_id: The chosen upstream; empty if no replica is left.
        candidates: The upstreams that were compared.
        reason: Why the choice was made among them.
    """

    upstream_id: str
    candidates: tuple[Candidate, ...]
    reason: str


class _UpstreamStats:
    """Statistics of one upstream; times are monotonic seconds.

    Attributes:
        first_seen_at: When it was first considered.
        in_flight: Legs of this instance in flight at it.
        draining_until: Until when it counts as draining.
        paused_until: Until when it gets no legs after a failure to reach it.
        failures: Pauses since its last answer, at most 16.
        peak: Decayed peak latency, which scores it.
        histogram: Latencies of its answers, for the hedge delay.
        report: Its last load report, or None.
        reported_at: When that report arrived.
    """

    __slots__ = (
        "draining_until",
        "failures",
        "first_seen_at",
        "histogram",
        "in_flight",
        "paused_until",
        "peak",
        "report",
        "reported_at",
    )

    def __init__(self, now: float) -> None:
        self.first_seen_at = now
        self.in_flight = 0
        self.draining_until = -math.inf
        self.paused_until = -math.inf
        self.failures = 0
        self.peak = DecayedPeak(now, INITIAL_LATENCY_S)
        self.histogram = LatencyHistogram()
        self.report: LoadReport | None = None
        self.reported_at = -math.inf

    def is_eligible(self, now: float) -> bool:
        """Return whether the upstream may get a leg; after a pause, one at a time."""
        if self.draining_until > now or self.paused_until > now:
            return False
        return not self.failures or not self.in_flight

    def pause(self, now: float) -> None:
        """Withhold new legs for a time that grows with repeated failures.

        Legs that fail during a pause were sent before it, so they don't extend it.
        """
        if now < self.paused_until:
            return
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.paused_until = now + pause_s


class ReplicaChooser:
    """Chooses replicas by the outcomes of earlier legs and by load reports.

    Takes about 900 bytes of memory for each upstream, including its load report.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Initialize for an instance in an availability zone."""
        self._zone = zone
        self._rng = rng
        self._stats_by_upstream: dict[str, _UpstreamStats] = {}

    def choose(
        self,
        now: float,
        section: Section,
        replicas: Sequence[str],
        tried: Collection[str] = (),
    ) -> Choice:
        """Choose one of the replicas that was not tried yet.

        Args:
            now: Monotonic seconds.
            section: The section in force, for zones and drained upstreams.
            replicas: Upstreams that hold the shard.
            tried: Upstreams that have already had a leg of this shard.
        """
        allowed = self._allowed(section, replicas, tried)
        if not allowed:
            return Choice("", (), "no_replica_left")
        eligible, reason = self._prefer_eligible(now, allowed)
        warm = self._apply_ramp(now, eligible)
        drawn = warm if len(warm) <= 2 else self._draw_candidates(section, warm)
        candidates = tuple(
            self._score(now, section, upstream_id) for upstream_id in drawn
        )
        best = min(candidates, key=lambda candidate: candidate.score_s)
        return Choice(best.upstream_id, candidates, reason)

    def begin(self, now: float, upstream_id: str) -> None:
        """Count a leg sent to an upstream."""
        self._stats(now, upstream_id).in_flight += 1

    def observe(
        self, now: float, upstream_id: str, latency_s: float, code: ResultCode
    ) -> None:
        """Record the end of a leg that was counted by ``begin``.

        Args:
            now: Monotonic seconds.
            upstream_id: The upstream that ran the leg.
            latency_s: Seconds from sending to the result or the cancellation.
            code: OK, the code of a failure, or LEG_CANCELLED.
        """
        stats = self._stats(now, upstream_id)
        stats.in_flight = max(0, stats.in_flight - 1)
        if code == ResultCode.OK:
            stats.histogram.add(latency_s)
            stats.peak.add(now, latency_s)
            stats.failures = 0
        elif code == ResultCode.LEG_DRAINING:
            stats.draining_until = now + DRAINING_LIFETIME_S
        elif code == ResultCode.LEG_CANCELLED:
            stats.peak.raise_to(now, latency_s)
        elif code == ResultCode.LEG_SHED:
            stats.peak.raise_to(now, max(latency_s, MIN_SHED_LATENCY_S))
        elif code in _UNREACHABLE_CODES:
            stats.pause(now)
        elif code in _FAILURE_CODES:
            stats.peak.raise_to(now, max(latency_s, MIN_FAILURE_LATENCY_S))

    def record_report(self, now: float, upstream_id: str, report: LoadReport) -> None:
        """Record an upstream's load report, a hint whose weight falls with its age."""
        stats = self._stats(now, upstream_id)
        stats.report = report
        stats.reported_at = now
        if report.draining:
            stats.draining_until = now + DRAINING_LIFETIME_S
        else:
            stats.draining_until = -math.inf

    def hedge_delay_s(self, upstream_id: str, siblings: Sequence[str] = ()) -> float:
        """Return the delay before a leg to an upstream is hedged, in seconds.

        An upstream that has become slow must not delay its own hedges, so the delay
        is at most HEDGE_SIBLING_FACTOR times that of its fastest sibling.
        """
        own_s = self._hedge_quantile_s(upstream_id)
        others_s = [
            self._hedge_quantile_s(sibling)
            for sibling in siblings
            if sibling != upstream_id and self._has_history(sibling)
        ]
        limit_s = min(others_s, default=math.inf) * HEDGE_SIBLING_FACTOR
        return max(MIN_HEDGE_DELAY_S, min(own_s, limit_s))

    def in_flight(self, upstream_id: str) -> int:
        """Return this instance's legs in flight at an upstream."""
        stats = self._stats_by_upstream.get(upstream_id)
        return stats.in_flight if stats else 0

    def forget_absent(self, upstream_ids: Collection[str]) -> None:
        """Drop the statistics of upstreams that were removed from the document."""
        kept = set(upstream_ids)
        for upstream_id in self._stats_by_upstream.keys() - kept:
            del self._stats_by_upstream[upstream_id]

    def _draw_candidates(self, section: Section, upstream_ids: list[str]) -> list[str]:
        """Draw two upstreams, and one of the local zone if neither is in it."""
        pair = self._draw_two(upstream_ids)
        local_zone = [
            upstream_id
            for upstream_id in upstream_ids
            if section.upstreams_by_id[upstream_id].zone == self._zone
        ]
        if not local_zone or any(upstream_id in local_zone for upstream_id in pair):
            return pair
        return [*pair, local_zone[int(self._rng.random() * len(local_zone))]]

    def _draw_two(self, upstream_ids: list[str]) -> list[str]:
        # Called for each leg, where random.sample is too slow.
        first = int(self._rng.random() * len(upstream_ids))
        second = int(self._rng.random() * (len(upstream_ids) - 1))
        if second >= first:
            second += 1
        return [upstream_ids[first], upstream_ids[second]]

    def _stats(self, now: float, upstream_id: str) -> _UpstreamStats:
        stats = self._stats_by_upstream.get(upstream_id)
        if stats is None:
            stats = self._stats_by_upstream[upstream_id] = _UpstreamStats(now)
        return stats

    def _allowed(
        self, section: Section, replicas: Sequence[str], tried: Collection[str]
    ) -> list[str]:
        return [
            upstream_id
            for upstream_id in replicas
            if upstream_id in section.upstreams_by_id
            and upstream_id not in section.drained
            and upstream_id not in tried
        ]

    def _prefer_eligible(self, now: float, allowed: list[str]) -> tuple[list[str], str]:
        """Return the upstreams that are eligible, or all if none is, and the reason."""
        eligible = [
            upstream_id
            for upstream_id in allowed
            if self._stats(now, upstream_id).is_eligible(now)
        ]
        if eligible:
            return eligible, "best_of_drawn" if len(eligible) > 1 else "only_replica"
        return allowed, "only_unfit_replicas"

    def _apply_ramp(self, now: float, eligible: list[str]) -> list[str]:
        shares = [self._ramp_share(now, upstream_id) for upstream_id in eligible]
        if min(shares) >= 1.0:
            return eligible
        # One random number serves for all upstreams, so that several cold ones share
        # the traffic of one ramp.
        draw = self._rng.random()
        pairs = zip(eligible, shares, strict=True)
        warm = [upstream_id for upstream_id, share in pairs if share > draw]
        return warm or eligible

    def _ramp_share(self, now: float, upstream_id: str) -> float:
        stats = self._stats(now, upstream_id)
        share = (now - stats.first_seen_at) / RAMP_DURATION_S
        if stats.report is None:
            return 1.0 if share >= 1.0 else max(MIN_RAMP_SHARE, share)
        if now - stats.reported_at < REPORT_LIFETIME_S:
            share = stats.report.warmth
        return max(MIN_RAMP_SHARE, min(1.0, share))

    def _score(self, now: float, section: Section, upstream_id: str) -> Candidate:
        stats = self._stats(now, upstream_id)
        upstream = section.upstreams_by_id[upstream_id]
        latency_s = max(MIN_SCORED_LATENCY_S, stats.peak.value(now))
        score_s = latency_s * (stats.in_flight + 1)
        score_s *= self._report_factor(now, stats, upstream)
        if upstream.zone != self._zone:
            score_s += CROSS_ZONE_PENALTY_S
        return Candidate(upstream_id, score_s)

    def _report_factor(
        self, now: float, stats: _UpstreamStats, upstream: Upstream
    ) -> float:
        """Return 1.0 for no or an idle report, up to MAX_REPORT_FACTOR for a busy one.

        A report is used in a share of the choices that falls with its age, and its
        effect is capped both ways, so that a false report can neither starve an
        upstream nor overload it.
        """
        freshness = 1.0 - (now - stats.reported_at) / REPORT_LIFETIME_S
        if (
            stats.report is None
            or self._rng.random() >= MAX_REPORT_USE_SHARE * freshness
        ):
            return 1.0
        busy = max(0, stats.report.running + stats.report.queued)
        factor = 1.0 + busy / max(1, upstream.slots) / 2.0
        return min(MAX_REPORT_FACTOR, factor)

    def _has_history(self, upstream_id: str) -> bool:
        stats = self._stats_by_upstream.get(upstream_id)
        return (
            stats is not None and stats.histogram.weighted_samples >= MIN_HEDGE_SAMPLES
        )

    def _hedge_quantile_s(self, upstream_id: str) -> float:
        if not self._has_history(upstream_id):
            return DEFAULT_HEDGE_DELAY_S
        stats = self._stats_by_upstream[upstream_id]
        return stats.histogram.recent_quantile_s(HEDGE_QUANTILE)


def make_chooser(zone: str, rng: random.Random) -> ReplicaChooser:
    """Return a chooser for an instance in an availability zone."""
    return ReplicaChooser(zone, rng)
