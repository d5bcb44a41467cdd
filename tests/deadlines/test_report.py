"""The summary of logged requests, and its command."""

from __future__ import annotations

import json
import subprocess
import sys

from umberusher.deadlines.report import summarize_log


def event(**more):
    return {
        "event": "request",
        "rid": "a1",
        "class": "lookup",
        "end": "expired",
        "place": "held",
        "engine": "s-0",
        "budget_ms": 100.0,
        "took_ms": 90.0,
        "held_ms": 60.0,
        "connecting_ms": 0.0,
        "outbox_ms": 0.0,
        "way_ms": 1.0,
        "node_ms": 29.0,
        "pages_ms": 0.0,
    } | more


def test_both_log_formats_are_read_and_unusable_events_are_named():
    lines = [
        json.dumps(event()),
        "2026 info something else",
        json.dumps(event(end="late", left_out=3)),
        " ".join(f"{key}={value}" for key, value in event(took_ms=95.5).items()),
        "{ not json",
        json.dumps(event(end="gone")),
        json.dumps(event(node_ms="soon")),
        json.dumps(event())[:60],
        json.dumps(event(place="")),
        json.dumps(event(held_ms=-5)),
    ]
    found = summarize_log("b.log", lines)
    assert (found.lines, found.events, found.defect_count, found.suppressed_events) == (10, 3, 5, 3)
    assert [each.split(": ")[0] for each in found.defects] == [
        f"b.log:{n}" for n in (6, 7, 8, 9, 10)
    ]
    assert "node_ms" in found.defects[1] and "end must be" in found.defects[0]
    assert found.document()["groups"][0]["requests"] == 2 and found.slowest[0]["took_ms"] == 95.5


def test_report_command_prints_plots_and_names_unusable_events(tmp_path):
    log, plot = tmp_path / "b.log", tmp_path / "w.svg"
    log.write_text(json.dumps(event()) + "\n" + json.dumps(event(end="left", place="node")) + "\n")
    command = [sys.executable, "-m", "umberusher", "deadlines", "report"]
    made = subprocess.run(
        [*command, str(log), "--plot", str(plot), "--json", str(tmp_path / "w.json")],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert made.returncode == 0 and "lookup expired" in made.stdout and b"<svg" in plot.read_bytes()
    assert json.loads((tmp_path / "w.json").read_text())["events"] == 2
    log.write_text(json.dumps(event(end="?")) + "\n")
    made = subprocess.run([*command, str(log)], capture_output=True, text=True, timeout=60)
    assert made.returncode == 1 and ":1: end must be one of" in made.stdout
    made = subprocess.run([*command, "/nowhere"], capture_output=True, text=True, timeout=60)
    assert made.returncode == 2 and made.stderr.count("\n") == 1
