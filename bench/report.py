"""Tables, JSON and the plot of a run."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import msgspec

from bench import cases
from bench.windows import BASELINE, PRESENT

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.figures import WindowFigures
    from bench.targets import Verdict

OUTPUT_DIRECTORY = pathlib.Path("build/bench")
_REFERENCE_BY_CASE = {cases.OVERLOAD: cases.HALF_LOAD}


class DeploymentReport(msgspec.Struct):
    """The figures of one deployment.

    Attributes:
        deployment: Its name.
        instances: Number of daemons.
        windows: Figures of every window, in the order of the run.
        capacity_per_s: Capacity found; 0 if not sought.
        verdicts: The targets.
    """

    deployment: str
    instances: int
    windows: list[WindowFigures]
    capacity_per_s: float
    verdicts: list[Verdict]


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
    """Return the table of a deployment's windows, its head first."""
    by_key = {(item.case, item.variant): item for item in report.windows}
    rows = [_WINDOW_COLUMNS]
    for item in report.windows:
        reference = _REFERENCE_BY_CASE.get(item.case, cases.ALL_WELL)
        calm = by_key.get((reference, item.variant))
        plain = by_key.get((item.case, BASELINE))
        rows.append(
            (
                item.case,
                item.variant,
                str(item.total.offered),
                f"{item.total.whole / max(1, item.total.offered):.2%}",
                f"{item.total.coverage:.3%}",
                f"{item.total.p50_ms:.1f}",
                f"{item.total.p99_ms:.1f}",
                f"{item.total.p999_ms:.1f}",
                _ratio(item, calm),
                _ratio(item, plain),
                f"{item.legs_per_needed:.3f}",
                f"{item.extra_share:.2%}",
                str(item.connections_peak),
                f"{item.connections_share:.0%}",
                f"{item.processor_ms:.1f}",
            )
        )
    return rows


def class_rows(report: DeploymentReport) -> list[tuple[str, ...]]:
    """Return the table of the loaded cases by priority, its head first."""
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
    loaded = (cases.HALF_LOAD, cases.OVERLOAD)
    calm_by_key = {
        (item.variant, name): kind
        for item in report.windows
        if item.case == cases.HALF_LOAD
        for name, kind in item.by_class.items()
    }
    for item in report.windows:
        if item.case not in loaded:
            continue
        goodput = item.goodput_per_s / max(0.001, report.capacity_per_s)
        for name, kind in item.by_class.items():
            calm = calm_by_key[item.variant, name]
            rows.append(
                (
                    item.case,
                    item.variant,
                    name,
                    str(kind.offered),
                    f"{kind.whole / max(1, kind.offered):.2%}",
                    f"{kind.p50_ms:.1f}",
                    f"{kind.p99_ms:.1f}",
                    f"{kind.p99_ms / max(0.001, calm.p99_ms):.2f}",
                    str(kind.refused),
                    str(kind.late_refusals),
                    f"{goodput:.2f}",
                )
            )
    return rows


def verdict_rows(report: DeploymentReport) -> list[tuple[str, ...]]:
    """Return the table of the targets, its head first."""
    rows = [("target", "measured", "bound", "verdict")]
    for verdict in report.verdicts:
        rows.append(
            (
                verdict.name,
                f"{verdict.value:.4g}",
                f"{verdict.bound:.4g}",
                "met" if verdict.is_met else "MISSED",
            )
        )
    return rows


def markdown_table(rows: Sequence[tuple[str, ...]]) -> str:
    """Return rows, the head first, as a table."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    lines = [_table_line(row, widths) for row in rows]
    lines.insert(1, "|" + "|".join("-" * (width + 2) for width in widths) + "|")
    return "\n".join(lines)


def report_text(reports: Sequence[DeploymentReport]) -> str:
    """Return the whole run as text."""
    parts = []
    for report in reports:
        title = f"## {report.deployment}, {report.instances} instances"
        parts += [title, markdown_table(window_rows(report))]
        if report.capacity_per_s:
            parts.append(
                f"Capacity found: {report.capacity_per_s:.1f} requests a second."
            )
            parts.append(markdown_table(class_rows(report)))
        parts.append(markdown_table(verdict_rows(report)))
    return "\n\n".join(parts) + "\n"


def write_json(reports: Sequence[DeploymentReport]) -> pathlib.Path:
    """Write every figure and return the path."""
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_DIRECTORY / "results.json"
    encoded = msgspec.json.format(msgspec.json.encode(list(reports)))
    path.write_bytes(encoded)
    return path


def write_plot(reports: Sequence[DeploymentReport]) -> pathlib.Path:
    """Draw each case's p99 over the all-well p99 and return the path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawn = [report for report in reports if len(report.windows) > 2]
    figure, axes = pyplot.subplots(
        1, max(1, len(drawn)), figsize=(7 * max(1, len(drawn)), 4.5), squeeze=False
    )
    for axis, report in zip(axes[0], drawn, strict=False):
        _draw_ratios(axis, report)
    figure.tight_layout()
    path = OUTPUT_DIRECTORY / "p99.png"
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
    return path


def _draw_ratios(axis, report: DeploymentReport) -> None:
    by_key = {(item.case, item.variant): item for item in report.windows}
    names = [case.name for case in cases.EVERYDAY_CASES]
    reference = by_key[cases.ALL_WELL, PRESENT].total.p99_ms
    for place, variant in enumerate((PRESENT, BASELINE)):
        ratios = [
            by_key[name, variant].total.p99_ms / max(0.001, reference)
            if (name, variant) in by_key
            else 0.0
            for name in names
        ]
        positions = [number + 0.4 * place for number in range(len(names))]
        axis.barh(positions, ratios, height=0.38, label=variant)
    axis.axvline(1.0, color="black", linewidth=0.8)
    axis.set_yticks([number + 0.2 for number in range(len(names))], names)
    axis.set_xlabel("p99 over the present code's all-well p99")
    axis.set_title(report.deployment)
    axis.legend()


def _ratio(item: WindowFigures, reference: WindowFigures | None) -> str:
    if reference is None or not reference.total.p99_ms:
        return ""
    return f"{item.total.p99_ms / reference.total.p99_ms:.2f}"


def _table_line(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return "| " + " | ".join(cells) + " |"
