"""Report of a run as Markdown tables, a JSON file and a plot."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import msgspec

from bench import cases
from bench.windows import BASELINE, PRESENT

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.figures import WindowFigures
    from bench.targets import TargetResult

OUTPUT_DIRECTORY = pathlib.Path("build/bench")
# Case to whose p99 the p99 of a case is compared; the case without faults for others.
_REFERENCE_CASE_BY_CASE = {cases.OVERLOAD: cases.HALF_LOAD}


class DeploymentReport(msgspec.Struct):
    """Figures of one deployment.

    Attributes:
        deployment: Name of the deployment.
        instances: Number of daemons.
        windows: Figures of every window, in the order of the run.
        capacity_per_s: Measured capacity, in requests per second; 0 if it was not
            measured.
        verdicts: Comparisons of the measured values with the targets.
    """

    deployment: str
    instances: int
    windows: list[WindowFigures]
    capacity_per_s: float
    verdicts: list[TargetResult]


_WINDOW_COLUMNS = (
    "case",
    "code",
    "offered",
    "whole",
    "coverage",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "p99 / all well",
    "p99 / baseline",
    "legs / needed",
    "extra",
    "conn. peak",
    "of limit",
    "cpu / request ms",
)


def window_rows(report: DeploymentReport) -> list[tuple[str, ...]]:
    """Return the table of a deployment's windows, header row first."""
    window_by_case_and_variant = {
        (window.case, window.variant): window for window in report.windows
    }
    rows = [_WINDOW_COLUMNS]
    for window in report.windows:
        reference_case = _REFERENCE_CASE_BY_CASE.get(window.case, cases.NO_FAULTS)
        reference = window_by_case_and_variant.get((reference_case, window.variant))
        baseline = window_by_case_and_variant.get((window.case, BASELINE))
        rows.append(
            (
                window.case,
                window.variant,
                str(window.total.offered),
                f"{window.total.whole / max(1, window.total.offered):.2%}",
                f"{window.total.coverage:.3%}",
                f"{window.total.p50_ms:.1f}",
                f"{window.total.p99_ms:.1f}",
                f"{window.total.p999_ms:.1f}",
                _p99_ratio(window, reference),
                _p99_ratio(window, baseline),
                f"{window.legs_per_needed:.3f}",
                f"{window.extra_share:.2%}",
                str(window.connections_peak),
                f"{window.connections_share:.0%}",
                f"{window.processor_ms:.1f}",
            )
        )
    return rows


def class_rows(report: DeploymentReport) -> list[tuple[str, ...]]:
    """Return the table of half load and overload by priority, header row first."""
    rows = [
        (
            "case",
            "code",
            "class",
            "offered",
            "whole",
            "p50 ms",
            "p99 ms",
            "p99 / half load",
            "refused",
            "refused late",
            "goodput / capacity",
        )
    ]
    slowed_cases = (cases.HALF_LOAD, cases.OVERLOAD)
    half_load_by_variant_and_class = {
        (window.variant, name): figures
        for window in report.windows
        if window.case == cases.HALF_LOAD
        for name, figures in window.by_class.items()
    }
    for window in report.windows:
        if window.case not in slowed_cases:
            continue
        goodput_ratio = window.goodput_per_s / max(0.001, report.capacity_per_s)
        for name, figures in window.by_class.items():
            half_load_figures = half_load_by_variant_and_class[window.variant, name]
            rows.append(
                (
                    window.case,
                    window.variant,
                    name,
                    str(figures.offered),
                    f"{figures.whole / max(1, figures.offered):.2%}",
                    f"{figures.p50_ms:.1f}",
                    f"{figures.p99_ms:.1f}",
                    f"{figures.p99_ms / max(0.001, half_load_figures.p99_ms):.2f}",
                    str(figures.refused),
                    str(figures.late_refusals),
                    f"{goodput_ratio:.2f}",
                )
            )
    return rows


def target_rows(report: DeploymentReport) -> list[tuple[str, ...]]:
    """Return the table of the targets, header row first."""
    rows = [("target", "measured", "bound", "verdict")]
    for result in report.verdicts:
        rows.append(
            (
                result.name,
                f"{result.value:.4g}",
                f"{result.bound:.4g}",
                "met" if result.is_met else "MISSED",
            )
        )
    return rows


def markdown_table(rows: Sequence[tuple[str, ...]]) -> str:
    """Format rows, of which the first is the header, as a Markdown table."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    lines = [_format_row(row, widths) for row in rows]
    lines.insert(1, "|" + "|".join("-" * (width + 2) for width in widths) + "|")
    return "\n".join(lines)


def report_text(reports: Sequence[DeploymentReport]) -> str:
    """Return the report of a run as Markdown."""
    parts = []
    for report in reports:
        title = f"## {report.deployment}, {report.instances} instances"
        parts += [title, markdown_table(window_rows(report))]
        if report.capacity_per_s:
            parts.append(
                f"Capacity found: {report.capacity_per_s:.1f} requests a second."
            )
            parts.append(markdown_table(class_rows(report)))
        parts.append(markdown_table(target_rows(report)))
    return "\n\n".join(parts) + "\n"


def write_json(reports: Sequence[DeploymentReport]) -> pathlib.Path:
    """Write all figures to OUTPUT_DIRECTORY as JSON and return the path."""
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_DIRECTORY / "results.json"
    encoded = msgspec.json.format(msgspec.json.encode(list(reports)))
    path.write_bytes(encoded)
    return path


def write_plot(reports: Sequence[DeploymentReport]) -> pathlib.Path:
    """Plot the ratio of each case's p99 to the p99 without faults and return the path.

    Deployments with one or two windows are left out: they did not run every case.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    plotted = [report for report in reports if len(report.windows) > 2]
    figure, axes_grid = pyplot.subplots(
        1, max(1, len(plotted)), figsize=(7 * max(1, len(plotted)), 4.5), squeeze=False
    )
    for report_axes, report in zip(axes_grid[0], plotted, strict=False):
        _draw_ratios(report_axes, report)
    figure.tight_layout()
    path = OUTPUT_DIRECTORY / "p99.png"
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
    return path


def _draw_ratios(axes, report: DeploymentReport) -> None:
    window_by_case_and_variant = {
        (window.case, window.variant): window for window in report.windows
    }
    case_names = [case.name for case in cases.STANDARD_CASES]
    reference_ms = window_by_case_and_variant[cases.NO_FAULTS, PRESENT].total.p99_ms
    for index, variant in enumerate((PRESENT, BASELINE)):
        ratios = [
            window_by_case_and_variant[name, variant].total.p99_ms
            / max(0.001, reference_ms)
            if (name, variant) in window_by_case_and_variant
            else 0.0
            for name in case_names
        ]
        positions = [number + 0.4 * index for number in range(len(case_names))]
        axes.barh(positions, ratios, height=0.38, label=variant)
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.set_yticks([number + 0.2 for number in range(len(case_names))], case_names)
    axes.set_xlabel("p99 over the present code's all-well p99")
    axes.set_title(report.deployment)
    axes.legend()


def _p99_ratio(window: WindowFigures, reference: WindowFigures | None) -> str:
    if reference is None or not reference.total.p99_ms:
        return ""
    return f"{window.total.p99_ms / reference.total.p99_ms:.2f}"


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "| " + " | ".join(cells) + " |"
