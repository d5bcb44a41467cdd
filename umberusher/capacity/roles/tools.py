"""The role of the operators' tools."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition
from umberusher.capacity.roles.formulas import planned
from umberusher.capacity.roles.quantities import (
    CALL_PER_ENGINE,
    MACHINE_PER_BROKER,
    restart_rate,
    zone_engines,
)

TOOLS = Role(
    "tools",
    "operators' tools",
    (
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "brokers a day that start without the manual drains of before",
            "broker/day",
            planned(
                lambda costs: restart_rate(costs, costs.plan.brokers * MACHINE_PER_BROKER)
                / MACHINE_PER_BROKER
            ),
            mechanism="",
            missing_mechanism="manual drains that discovery tells: not in the protocol",
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.RACK_LOST,
            "calls for a manual drain, at all brokers",
            "call",
            planned(lambda costs: costs.plan.rack * costs.plan.brokers * CALL_PER_ENGINE),
            missing_mechanism="a manual drain by zone or rack that is told once to all brokers",
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ZONE_LOST,
            "calls for a manual drain, at all brokers",
            "call",
            planned(lambda costs: zone_engines(costs) * costs.plan.brokers * CALL_PER_ENGINE),
            missing_mechanism="a manual drain by zone or rack that is told once to all brokers",
        ),
    ),
)
