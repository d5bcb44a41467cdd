"""Draws plots of plans and replays with matplotlib and returns them as bytes of image files."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence

import matplotlib

matplotlib.use("Agg")
# With a fixed salt the same plot gives the same bytes.
matplotlib.rcParams["svg.hashsalt"] = "umberusher"

from matplotlib.figure import Figure  # noqa: E402  (the backend must be selected first)

FIGURE_WIDTH_INCHES = 9
FIGURE_HEIGHT_INCHES = 3
BAR_HEIGHT_INCHES = 0.28

WaterfallRow = tuple[str, Mapping[str, float], float]
"""A name, the width of each part, and the position of the budget's mark."""


def _render(figure: Figure, image_format: str) -> bytes:
    output = io.BytesIO()
    metadata = {"Date": None} if image_format == "svg" else None
    figure.savefig(output, format=image_format, metadata=metadata, bbox_inches="tight")
    return output.getvalue()


def series(
    title: str,
    x: Sequence[float],
    lines: Mapping[str, Sequence[float]],
    *,
    y_label: str,
    x_label: str = "seconds",
    image_format: str = "svg",
    marks: Mapping[str, float] | None = None,
) -> bytes:
    """Draw lines over one x axis; ``marks`` are named x values, drawn as vertical lines."""
    figure = Figure(figsize=(FIGURE_WIDTH_INCHES, FIGURE_HEIGHT_INCHES))
    axes = figure.subplots()
    for name, values in lines.items():
        axes.plot(x, values, label=name, linewidth=1)
    for name, at in (marks or {}).items():
        axes.axvline(at, color="grey", linewidth=0.8, linestyle=":")
        axes.annotate(
            name, (at, 1), xycoords=("data", "axes fraction"), fontsize=7, rotation=90, va="top"
        )
    axes.set(title=title, xlabel=x_label, ylabel=y_label)
    axes.set_ylim(bottom=0)
    if len(lines) > 1:
        axes.legend(fontsize=8)
    return _render(figure, image_format)


def cumulative_distribution(
    title: str, samples: Mapping[str, Sequence[float]], *, x_label: str, image_format: str = "svg"
) -> bytes:
    """Draw the fraction of samples up to each value, on a logarithmic axis; one line per name."""
    figure = Figure(figsize=(FIGURE_WIDTH_INCHES, FIGURE_HEIGHT_INCHES))
    axes = figure.subplots()
    for name, values in samples.items():
        if values:
            ordered = sorted(values)
            fractions = [(rank + 1) / len(ordered) for rank in range(len(ordered))]
            axes.plot(ordered, fractions, label=name, linewidth=1)
    axes.set(title=title, xlabel=x_label, ylabel="share", xscale="log")
    axes.legend(fontsize=8)
    return _render(figure, image_format)


def waterfall(
    title: str,
    parts: Sequence[str],
    rows: Sequence[WaterfallRow],
    *,
    image_format: str = "svg",
    mark: str = "budget",
    x_label: str = "ms",
) -> bytes:
    """Draw a stacked bar per row, the first row on top, each with a mark at its budget."""
    figure = Figure(figsize=(FIGURE_WIDTH_INCHES, 1 + BAR_HEIGHT_INCHES * max(len(rows), 1)))
    axes = figure.subplots()
    ends = [0.0] * len(rows)
    for part in parts:
        widths = [values.get(part, 0.0) for _, values, _ in rows]
        axes.barh(range(len(rows)), widths, left=ends, label=part, height=0.7)
        ends = [end + width for end, width in zip(ends, widths, strict=True)]
    budgets = [budget for _, _, budget in rows]
    axes.plot(budgets, range(len(rows)), "k|", markersize=10, label=mark)
    axes.set_yticks(range(len(rows)), [name for name, _, _ in rows], fontsize=7)
    axes.invert_yaxis()
    axes.set(title=title, xlabel=x_label)
    axes.legend(fontsize=7, ncols=len(parts) + 1, loc="upper center", bbox_to_anchor=(0.5, -0.12))
    return _render(figure, image_format)
