"""One control machine of the discovery service, and its traffic in each second."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MachineTraffic:
    """A machine's traffic within one second."""

    requests: int = 0
    sent_bytes: int = 0
    complete_lists: int = 0

    def __add__(self, other: MachineTraffic) -> MachineTraffic:
        return MachineTraffic(
            self.requests + other.requests,
            self.sent_bytes + other.sent_bytes,
            self.complete_lists + other.complete_lists,
        )


class ControlMachine:
    """A control machine; while it is lost, it sends nothing on any connection."""

    __slots__ = ("lost", "number", "region", "traffic")

    def __init__(self, number: int, region: int) -> None:
        self.number = number
        self.region = region
        self.lost = False
        self.traffic: dict[int, MachineTraffic] = {}

    def traffic_at(self, second: int) -> MachineTraffic:
        """Return the counts of one second of the clock, which the caller increments."""
        traffic = self.traffic.get(second)
        if traffic is None:
            traffic = self.traffic[second] = MachineTraffic()
        return traffic
