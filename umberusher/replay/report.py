"""A replay as one HTML page with its tables and plots."""

from __future__ import annotations

import html
from collections.abc import Sequence
from typing import Any

from umberusher.replay.options import ReplayOptions
from umberusher.traces import plots
from umberusher.traces.plan import Plan

MAX_MARKS = 12  # of faults and machine events in a plot; faults are always marked
MAX_BREACHES = 50
ENDINGS = ("arrivals", "served", "late", "refused", "failed", "expired")

_STYLE = (
    "body{font:14px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}.bad{color:#a00}svg{max-width:100%;height:auto}"
)

Row = Sequence[object]


def page(name: str, plan: Plan, result: dict[str, Any], options: ReplayOptions) -> bytes:
    """Return the page.

    Args:
        name: Title of the page.
        plan: The plan that was played.
        result: The result as JSON.
        options: The options of the replay.
    """
    parts = [
        _heading(name, result),
        _rules(result["rules_broken"]),
        _class_table(result["by_class"]),
        *_plots(result["by_second"], _marks(options, plan)),
        _table(["figure", "value"], _scalars(result)),
        _table(["plan", "value"], sorted(plan.header.items())),
    ]
    head = f"<!doctype html><meta charset=utf-8><title>{html.escape(name)}</title>"
    return (head + f"<style>{_STYLE}</style>" + "".join(parts)).encode()


def _heading(name: str, result: dict[str, Any]) -> str:
    is_scored = result["service"] is not None
    service = f"service {result['service']}" if is_scored else "not scored"
    heading = f"<h1>{html.escape(name)}: {service}</h1>"
    if result["partial"]:
        heading += "<p class=bad>Partial: stopped before the end of the plan.</p>"
    if not result["kept_pace"]:
        heading += "<p class=bad>The clients could not keep pace, so nothing is scored.</p>"
    return heading


def _rules(broken: list[dict[str, Any]]) -> str:
    if not broken:
        return "<p>Rules: all kept, by what crossed the sockets.</p>"
    rows = [[each["at_ms"], each["rule"], each["what"]] for each in broken[:MAX_BREACHES]]
    return "<p class=bad>Rules broken:</p>" + _table(["at ms", "rule", "what"], rows)


def _class_table(by_class: dict[str, dict[str, Any]]) -> str:
    rows = [
        [
            name,
            each["requests"],
            each["service"],
            ", ".join(f"{end} {count}" for end, count in each["ends"].items()),
            ", ".join(f"{point} {value}" for point, value in each["latency_ms"].items()),
        ]
        for name, each in by_class.items()
    ]
    return _table(["class", "requests", "service", "ends", "latency ms"], rows)


def _scalars(result: dict[str, Any]) -> list[Row]:
    return [
        (key, value) for key, value in result.items() if isinstance(value, int | float | str | bool)
    ]


def _plots(by_second: dict[str, Any], marks: dict[str, float]) -> list[str]:
    seconds = list(range(len(by_second["asked"])))
    services = [
        100.0 * earned / requested if requested else 100.0
        for earned, requested in zip(by_second["earned"], by_second["asked"], strict=True)
    ]
    endings = {ending: by_second[ending] for ending in ENDINGS if any(by_second[ending])}
    return [
        _svg(
            plots.series(
                "service by second of arrival",
                seconds,
                {"share of the worth asked": services},
                y_label="%",
                marks=marks,
            )
        ),
        _svg(
            plots.series(
                "arrivals and ends by second of arrival",
                seconds,
                endings,
                y_label="requests",
                marks=marks,
            )
        ),
    ]


def _marks(options: ReplayOptions, plan: Plan) -> dict[str, float]:
    marks = {f"{fault.kind} {fault.node}": fault.at for fault in options.faults}
    for event in plan.machines:
        if event.at_us > 0 and len(marks) < MAX_MARKS:
            marks[f"{event.event} {event.machine}"] = event.at_us / 1e6
    return marks


def _svg(image: bytes) -> str:
    text = image.decode()
    return text[text.index("<svg") :]


def _table(headers: list[str], rows: Sequence[Row]) -> str:
    head = "".join(f"<th>{html.escape(each)}</th>" for each in headers)
    body = "".join(f"<tr>{_cells(row)}</tr>" for row in rows)
    return f"<table><tr>{head}</tr>{body}</table>"


def _cells(row: Row) -> str:
    return "".join(f"<td>{html.escape(str(each))}</td>" for each in row)
