"""Table of where the worth of played days was lost, from reports of the users' bench.

Usage: ``python -m tools.what_binds REPORT...``. A report is what the bench writes with
its option for one day.
"""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any, NamedTuple

# Spans of a day whose worth is below this are listed.
GOOD_SPAN_WORTH = 0.95
# The worst spans that count, by the bench's rules.
COUNTED_SPANS = 2
# Losses below this are left out of the table.
MIN_LOSS = 0.001


class Loss(NamedTuple):
    """A part of a day's worth that was lost.

    Attributes:
        cause: Name of the price, or of the part of the score.
        worth: How much worth it cost.
    """

    cause: str
    worth: float


class Span(NamedTuple):
    """Some seconds of a day in which callers were served badly.

    Attributes:
        from_s: Start, in seconds after the first request.
        worth: Share of the credit that was earned.
        counts: Numbers of requests that were late, refused, failed and asked.
        loss: Worth of the day that the span cost in the sum over the whole day.
        events: Disruptions that overlap the span.
    """

    from_s: float
    worth: float
    counts: dict[str, int]
    loss: float
    events: tuple[str, ...]


def find_losses(report: dict[str, Any]) -> list[Loss]:
    """Return the losses of a day, the largest first."""
    losses = [
        Loss(name, weight * (1.0 - earned)) for name, weight, earned in report["parts"]
    ]
    losses += [Loss(name, price) for name, _, price in report["prices"]]
    found = [loss for loss in losses if loss.worth >= MIN_LOSS]
    return sorted(found, key=lambda loss: -loss.worth)


def find_bad_spans(report: dict[str, Any]) -> list[Span]:
    """Return the spans below GOOD_SPAN_WORTH, the worst first."""
    windows = report["windows"]
    starts_s = [float(window["name"]) for window in windows]
    whole_day_weight = dict((name, weight) for name, weight, _ in report["parts"]).get(
        "whole day", 0.0
    )
    asked = max(1, sum(window["n"] for window in windows))
    spans = []
    for number, window in enumerate(windows):
        if window["worth"] >= GOOD_SPAN_WORTH or not window["n"]:
            continue
        start_s = starts_s[number]
        end_s = (
            starts_s[number + 1]
            if number + 1 < len(starts_s)
            else start_s + (start_s - starts_s[number - 1])
        )
        counts = {key: window[key] for key in ("late", "refused", "failed", "n")}
        loss = whole_day_weight * (1.0 - window["worth"]) * window["n"] / asked
        events = _events(report, start_s, end_s)
        spans.append(Span(start_s, window["worth"], counts, loss, events))
    return sorted(spans, key=lambda span: span.worth)


def _events(report: dict[str, Any], start_s: float, end_s: float) -> tuple[str, ...]:
    return tuple(
        event["kind"]
        for event in report["events"]
        if event["at_s"] < end_s and event["to_s"] > start_s
    )


def format_day(name: str, report: dict[str, Any]) -> list[str]:
    """Return the lines of one day's table."""
    lines = [f"{name}: worth {report['G']:.3f}"]
    lines += [f"  {loss.worth:6.3f}  {loss.cause}" for loss in find_losses(report)]
    for number, span in enumerate(find_bad_spans(report)):
        mark = "*" if number < COUNTED_SPANS else " "
        counts = ", ".join(
            f"{span.counts[key]} {key}" for key in ("late", "refused", "failed")
        )
        lines.append(
            f" {mark}{span.from_s:5.0f} s  worth {span.worth:.2f}, costs"
            f" {span.loss:.3f}: {counts} of {span.counts['n']};"
            f" {', '.join(span.events) or 'no disruption'}"
        )
    return lines


def main(paths: list[str]) -> int:
    """Print the table of each report and return the exit code."""
    if not paths:
        print(__doc__, file=sys.stderr)
        return 2
    for path in paths:
        report = json.loads(pathlib.Path(path).read_text())
        print("\n".join(format_day(pathlib.Path(path).stem, report)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
