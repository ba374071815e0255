"""Play of overload: what callers get while more is asked than the searchers can run.

Usage: ``python -m bench.overload [LOAD...]``. Several instances route searches to the
same searchers, and each of them knows only its own legs and the load reports in their
replies. Time is virtual: four seconds of overload take about as long.
"""

from __future__ import annotations

import statistics
import sys
from typing import TYPE_CHECKING, NamedTuple

from bench.simulated_callers import CLASSES, OK_STATUS, CallerClass, Play, Result

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

REFUSED_STATUS = 503
WARM_UP_S = 2.0
# Time after an overload in which the load of before must be served as before.
RECOVERY_S = 2.0
# Load before and after an overload, as a share of what the slots can run.
CALM_LOAD = 0.3
# Factor of the searchers that turn slow.
SLOW_FACTOR = 11.0
# Highest credit of a late answer; others have more, also if the minimum of the shards
# is in them.
MAX_LATE_CREDIT = 0.2
# How long searchers are lost.
LOST_S = 4.0
# How long searchers limit their requests, and the time after which the limit must be
# kept.
LIMITED_S = 8.0
LIMIT_KNOWN_S = 0.6
# Limit of each searcher in the plays of the command: a third of its load.
LIMITED_RATE = 11.0
# What the platform tolerates in a window: a multiple of the limit, and a few more.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
LOADS = (1.2, 1.5, 2.0, 3.0)
SEEDS = (1, 2, 3)


class Summary(NamedTuple):
    """What a group of callers got.

    Attributes:
        count: Number of callers.
        in_time: Share that was answered within the latency target.
        repeated_in_time: Share that was answered within the target of a repetition.
        late: Share that was answered later.
        refused: Share that was refused to the end.
        failed: Share of all others.
        credit: Credit earned, as a share of what is owed.
    """

    count: int
    in_time: float
    repeated_in_time: float
    late: float
    refused: float
    failed: float
    credit: float


def summarize(
    results: Sequence[Result], classes: Sequence[CallerClass] = CLASSES
) -> Summary:
    """Return a summary of what callers got."""
    worth_by_route = {item.route.name: item.worth for item in classes}
    count = max(1, len(results))
    in_time = sum(result.is_in_time for result in results)
    repeated = sum(
        result.credit > MAX_LATE_CREDIT and not result.is_in_time for result in results
    )
    answered = sum(result.status == OK_STATUS for result in results)
    refused = sum(result.status == REFUSED_STATUS for result in results)
    owed = sum(worth_by_route[result.route] for result in results)
    credit = sum(worth_by_route[result.route] * result.credit for result in results)
    return Summary(
        len(results),
        in_time / count,
        repeated / count,
        (answered - in_time - repeated) / count,
        refused / count,
        (len(results) - answered - refused) / count,
        credit / max(1e-9, owed),
    )


class OverloadOutcome(NamedTuple):
    """Outcome of a play with a steady overload.

    Attributes:
        during: What the callers of the overload got.
        after: What the callers got who came two seconds or more after its end.
        goodput_share: Work of the searches that were answered within the latency
            target of the attempt that got the answer, as a share of what the slots can
            run.
        late_share: Share of the admitted searches that were answered late.
    """

    during: Summary
    after: Summary
    goodput_share: float
    late_share: float


def play_overload(
    load: float, seed: int = 1, duration_s: float = 4.0, **options: float
) -> OverloadOutcome:
    """Offer a multiple of what the slots can run, after and before a calm load.

    Args:
        load: The multiple.
        seed: Seed of the play.
        duration_s: Length of the overload, in seconds.
        options: Further arguments of the Play.
    """
    play = Play(seed=seed, **options)
    capacity_per_s = play.capacity_per_s()
    play.run(CALM_LOAD * capacity_per_s, WARM_UP_S)
    started_at = play.timers.now()
    play.run(load * capacity_per_s, duration_s)
    ended_at = play.timers.now()
    play.run(CALM_LOAD * capacity_per_s, RECOVERY_S + 1.0)
    play.finish()
    during = [
        result for result in play.results if started_at <= result.started_at < ended_at
    ]
    after = [
        result for result in play.results if result.started_at >= ended_at + RECOVERY_S
    ]
    summary = summarize(during)
    admitted_share = summary.in_time + summary.repeated_in_time + summary.late
    work_by_route = {item.route.name: item.work_s for item in play.classes}
    done_s = sum(
        work_by_route[result.route]
        for result in during
        if result.credit > MAX_LATE_CREDIT
    )
    mean_work_s = sum(item.share * item.work_s for item in play.classes)
    return OverloadOutcome(
        summary,
        summarize(after),
        done_s / mean_work_s / duration_s / capacity_per_s,
        summary.late / max(1e-9, admitted_share),
    )


def play_slow_and_leaving(
    seed: int = 1, rate_per_s: float = 97.0, burst: float = 1.7, slow_count: int = 5
) -> tuple[Summary, Summary]:
    """Let some searchers turn slow and others leave, and then callers burst.

    Args:
        seed: Seed of the play.
        rate_per_s: Searches a second before the burst.
        burst: Factor of the rate during the burst.
        slow_count: How many searchers turn slow, and how many leave.

    Returns:
        What callers got from the first slow searcher to the last, and what they got
        afterwards.
    """
    play = Play(seed=seed)
    play.run(rate_per_s, WARM_UP_S)
    started_at = play.timers.now()
    searchers = list(play.searchers_by_id.values())
    play.rng.shuffle(searchers)
    slow, leaving = searchers[:slow_count], searchers[slow_count : 2 * slow_count]
    play.slow(slow, SLOW_FACTOR)
    play.run(rate_per_s, 0.6)
    play.remove(leaving)
    play.run(rate_per_s, 1.5)
    play.run(rate_per_s * burst, 3.7)
    play.run(rate_per_s, 2.0)
    ended_at = play.timers.now()
    play.slow(slow, 1.0)
    play.run(rate_per_s, RECOVERY_S)
    play.finish()
    during = [
        result for result in play.results if started_at <= result.started_at < ended_at
    ]
    after = [result for result in play.results if result.started_at >= ended_at]
    return summarize(during), summarize(after)


def play_lost_shard(seed: int = 1, rate_per_s: float = 97.0) -> Summary:
    """Lose all searchers of one shard, and all but a slow one of another.

    Args:
        seed: Seed of the play.
        rate_per_s: Searches a second.

    Returns:
        What callers got while the searchers were lost.
    """
    play = Play(seed=seed)
    play.run(rate_per_s, WARM_UP_S)
    started_at = play.timers.now()
    lost, scarce, *_ = play.classes[0].route.shards
    searchers = play.searchers_by_id.values()
    play.crash([item for item in searchers if item.replica.service == lost])
    left, *crashing = [item for item in searchers if item.replica.service == scarce]
    play.crash(crashing)
    play.slow([left], SLOW_FACTOR)
    play.run(rate_per_s, LOST_S)
    ended_at = play.timers.now()
    play.finish()
    return summarize(
        [
            result
            for result in play.results
            if started_at <= result.started_at < ended_at
        ]
    )


class LimitedOutcome(NamedTuple):
    """Outcome of a play with searchers that limit their requests.

    Attributes:
        callers: What the callers got.
        excess: By how many requests the worst window exceeded what the platform
            tolerates, over all limited searchers; 0.0 if none did.
        used_share: Requests that the limited searchers got, as a share of the limits.
    """

    callers: Summary
    excess: float
    used_share: float


def play_limited(
    limited_per_shard: int,
    rate_limit: float,
    seed: int = 1,
    rate_per_s: float = 97.0,
    limited_shards: int = 3,
) -> LimitedOutcome:
    """Let searchers of some shards limit their requests.

    Args:
        limited_per_shard: How many searchers of each of these shards do.
        rate_limit: The limit of each, in requests a second.
        seed: Seed of the play.
        rate_per_s: Searches a second.
        limited_shards: Number of these shards.
    """
    play = Play(seed=seed)
    play.run(rate_per_s, WARM_UP_S)
    limited = [
        searcher
        for service in play.classes[0].route.shards[:limited_shards]
        for searcher in [
            each
            for each in play.searchers_by_id.values()
            if each.replica.service == service
        ][:limited_per_shard]
    ]
    play.limit(limited, rate_limit)
    play.run(rate_per_s, LIMIT_KNOWN_S)
    started_at = play.timers.now()
    play.run(rate_per_s, LIMITED_S)
    ended_at = play.timers.now()
    play.finish()
    results = [
        result for result in play.results if started_at <= result.started_at < ended_at
    ]
    arrivals = [
        [at for at in searcher.arrivals if started_at <= at < ended_at]
        for searcher in limited
    ]
    allowed = LIMIT_FACTOR * rate_limit * LIMIT_WINDOW_S + LIMIT_EXTRA
    most = max(
        (
            sum(at <= other < at + LIMIT_WINDOW_S for other in times)
            for times in arrivals
            for at in times
        ),
        default=0,
    )
    used = sum(map(len, arrivals)) / (rate_limit * LIMITED_S * len(limited))
    return LimitedOutcome(summarize(results), max(0.0, most - allowed), used)


def format_outcomes(load: float, outcomes: Sequence[OverloadOutcome]) -> str:
    """Return a line with the means over several seeds."""

    def mean(values: Iterable[float]) -> float:
        return statistics.mean(values)

    return (
        f"load {load:.2f}: goodput {mean(item.goodput_share for item in outcomes):.3f},"
        f" late of the admitted {mean(item.late_share for item in outcomes):.3f},"
        f" in time {mean(item.during.in_time for item in outcomes):.3f},"
        f" refused {mean(item.during.refused for item in outcomes):.3f},"
        f" credit {mean(item.during.credit for item in outcomes):.3f},"
        f" afterwards {mean(item.after.credit for item in outcomes):.3f}"
    )


def main(argv: Sequence[str]) -> int:
    """Play each load on several seeds, print a line for each, return the exit code."""
    for load in [float(argument) for argument in argv[1:]] or LOADS:
        outcomes = [play_overload(load, seed) for seed in SEEDS]
        print(format_outcomes(load, outcomes), flush=True)
    for limited_per_shard in (1, 2, 3):
        outcome = play_limited(limited_per_shard, LIMITED_RATE)
        print(
            f"limits of {LIMITED_RATE:.0f}/s at {limited_per_shard} of 3 searchers:"
            f" credit {outcome.callers.credit:.3f},"
            f" refused {outcome.callers.refused:.3f},"
            f" used {outcome.used_share:.2f}, excess {outcome.excess:.0f}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
