"""Field names that the simulator's text wire and the engines' text protocol share."""

from __future__ import annotations

# Fields of a load report by their names on the wire. None marks a name that is valid but not read,
# since no decision depends on it; a report with only such names still counts as a report.
LOAD_REPORT_FIELDS: dict[str, str | None] = {
    "load_share": "utilization",
    "concurrent": "in_flight",
    "depth": "queued",
    "x0": "memory_share",
    "x1": None,
    "mean_ms": None,
    "tps": None,
    "err_ps": None,
}
