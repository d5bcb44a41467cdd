"""The load reports of a stand-in engine, renewed at intervals and, by a fault, delayed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from umberusher.standin.machine import Machine

REPORT_INTERVAL_MS = 200.0
MAX_KEPT_REPORTS = 64


@dataclass(slots=True, frozen=True)
class LoadReport:
    """One report as it is sent on the wire."""

    made_at_ms: float
    text: str


class LoadReports:
    """The latest reports of one engine."""

    __slots__ = ("_reports",)

    def __init__(self) -> None:
        self._reports: deque[LoadReport] = deque(maxlen=MAX_KEPT_REPORTS)

    def __len__(self) -> int:
        return len(self._reports)

    def current(self, machine: Machine, now_ms: float, delay_ms: float) -> str:
        """Return the report that is due; one at least ``delay_ms`` old where there is a delay."""
        reports = self._reports
        if not reports or now_ms - reports[-1].made_at_ms >= REPORT_INTERVAL_MS:
            reports.append(LoadReport(now_ms, _format(machine)))
        if not delay_ms:
            return reports[-1].text
        for report in reversed(reports):
            if report.made_at_ms <= now_ms - delay_ms:
                return report.text
        return reports[0].text


def _format(machine: Machine) -> str:
    return (
        f"inflight:{machine.session_count};queue:{len(machine.queue)};"
        f"x0:{machine.memory_fraction:.3f}"
    )
