"""The kinds of faults that a soak plays."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class FaultKind:
    """One kind of fault.

    Attributes:
        name: Its name on the command line.
        shim: The system calls that fail, with their probability in a moment; or the size of the
            steps of the wall clock, in seconds.
        actions: What the player does at random times.
        interval_s: The shortest and the longest time between two of them.
        service_delay_s: The longest time by which discovery answers late.
        new_connections_per_s: Connections that send one request each.
        longest_deadline_s: Longer deadlines of the settings are cut to this.
        crowd: Idle connections that are kept open all the time.
    """

    name: str
    shim: dict[str, float] = field(default_factory=dict)
    actions: tuple[str, ...] = ()
    interval_s: tuple[float, float] = (1.0, 3.0)
    service_delay_s: float = 0.0
    new_connections_per_s: float = 2.0
    longest_deadline_s: float = 25.0
    crowd: int = 0


KINDS = (
    FaultKind("none"),
    FaultKind("silent", actions=("silence_watches",), interval_s=(4.0, 8.0)),
    FaultKind("break", actions=("reset_watches",), interval_s=(0.5, 3.0)),
    FaultKind("slow", actions=("delay_watches",), interval_s=(0.7, 2.5), service_delay_s=1.6),
    FaultKind("stop", actions=("stop_process",), interval_s=(2.0, 5.0)),
    FaultKind("accept", {"accept": 0.5}, new_connections_per_s=30.0),
    FaultKind("clock", {"clock": 3600.0}),
    FaultKind("clock-small", {"clock": 5.0}, ("silence_watches",), (4.0, 8.0)),
    FaultKind("short", {"short": 0.5}),
    FaultKind("broken", {"broken": 0.02}),
    FaultKind("connect", {"connect": 0.5, "socket": 0.3}, ("reset_watches", "reset_engine")),
    FaultKind("engines", actions=("reset_engine", "silence_engine"), interval_s=(0.5, 2.0)),
    FaultKind("hangup", actions=("move_discovery",), interval_s=(0.6, 6.0)),
    FaultKind("term", actions=("restart",), interval_s=(6.0, 9.0)),
    FaultKind("folder", {"folder": 0.7}, ("restart",), (5.0, 8.0)),
    FaultKind(
        "term-short",
        actions=("restart", "silence_engine"),
        interval_s=(2.0, 4.0),
        longest_deadline_s=1.0,
        crowd=300,
    ),
    FaultKind(
        "mixed",
        {"accept": 0.2, "short": 0.1, "broken": 0.005, "connect": 0.1, "clock": 60.0},
        ("silence_watches", "reset_watches", "stop_process", "reset_engine", "move_discovery"),
        (1.0, 3.0),
        new_connections_per_s=10.0,
    ),
)
