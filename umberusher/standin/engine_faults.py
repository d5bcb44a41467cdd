"""Faults that can be injected into a stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class EngineFaults:
    """The faults of an engine that are active.

    Attributes:
        unresponsive: It reads everything and answers nothing until the fault ends.
        report_delay_ms: How old its load reports are.
        cut_result_after_bytes: Bytes of the next result that are written before a reset.
        reject_health_checks: It answers health checks with SICK.
        network_delay_ms: Delay of each direction, on top of loopback's.
        read_bytes_per_interval: What each connection reads every tenth of a second, at most; 0 for
            no limit.
    """

    unresponsive: bool = False
    report_delay_ms: float = 0.0
    cut_result_after_bytes: int | None = None
    reject_health_checks: bool = False
    network_delay_ms: float = 0.0
    read_bytes_per_interval: int = 0
