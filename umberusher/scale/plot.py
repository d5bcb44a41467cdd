"""The plot of a scale run: by scene, the busiest control machine and the statements not served."""

from __future__ import annotations

import io
from collections.abc import Mapping
from operator import attrgetter

from matplotlib.axes import Axes

from umberusher.scale.scene_counts import SceneCounts
from umberusher.simulated_fleet.statement_counts import StatementOutcome
from umberusher.traces import plots

SHOWN_OUTCOMES = (
    StatementOutcome.REJECTED,
    StatementOutcome.FAILED,
    StatementOutcome.EXPIRED,
    StatementOutcome.BROKER_STOPPED,
)
WIDTH_INCHES = 12
ROW_HEIGHT_INCHES = 2.2
BYTES_PER_MB = 1e6
LINE_WIDTH_POINTS = 1
TITLE_POINTS = 8
LEGEND_POINTS = 7


def plot_scenes(scenes: Mapping[str, SceneCounts], file_format: str = "svg") -> bytes:
    """Return the plot of all scenes as the bytes of an image file."""
    # ``plots`` sets matplotlib's backend and its hash salt, so the same plot gives the same bytes.
    size_inches = (WIDTH_INCHES, ROW_HEIGHT_INCHES * max(len(scenes), 1))
    figure = plots.Figure(figsize=size_inches)  # type: ignore[attr-defined]
    rows = figure.subplots(len(scenes), 2, squeeze=False)
    for (traffic_axes, outcome_axes), (name, counts) in zip(rows, scenes.items(), strict=True):
        _plot_traffic(traffic_axes, name, counts)
        _plot_outcomes(outcome_axes, name, counts)
    for axes in rows[0]:
        axes.legend(fontsize=LEGEND_POINTS)
    for axes in rows[-1]:
        axes.set_xlabel("s")
    figure.tight_layout()
    image = io.BytesIO()
    # Without a date the same scenes give the same file.
    metadata = {"Date": None} if file_format == "svg" else None
    figure.savefig(image, format=file_format, metadata=metadata)
    return image.getvalue()


def _max_by_second(counts: SceneCounts, field: str) -> list[int]:
    """Return the traffic of the busiest machine in each second of the scene."""
    traffic_of = attrgetter(field)
    maxima = [0] * int(counts.duration_s)
    for key, traffic in counts.machine_traffic.items():
        if 0 <= key.second < len(maxima):
            maxima[key.second] = max(maxima[key.second], traffic_of(traffic))
    return maxima


def _plot_traffic(axes: Axes, name: str, counts: SceneCounts) -> None:
    seconds = range(int(counts.duration_s))
    requests = _max_by_second(counts, "requests")
    axes.plot(seconds, requests, label="requests a second", linewidth=LINE_WIDTH_POINTS)
    megabytes = [size / BYTES_PER_MB for size in _max_by_second(counts, "sent_bytes")]
    axes.plot(seconds, megabytes, label="MB a second", linewidth=LINE_WIDTH_POINTS)
    axes.set_title(f"{name}: the busiest control machine", fontsize=TITLE_POINTS)
    axes.set_yscale("symlog")


def _plot_outcomes(axes: Axes, name: str, counts: SceneCounts) -> None:
    seconds = range(len(counts.outcomes_by_second))
    for outcome in SHOWN_OUTCOMES:
        percentages = [
            100 * outcomes[outcome] / max(outcomes.total(), 1)
            for outcomes in counts.outcomes_by_second
        ]
        axes.plot(seconds, percentages, label=outcome.value, linewidth=LINE_WIDTH_POINTS)
    axes.set_title(f"{name}: statements that were not served, in 100", fontsize=TITLE_POINTS)
    axes.set_ylim(bottom=0)
