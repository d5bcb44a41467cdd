"""The role of the mechanisms that protect the others, such as retry budget and health checks."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition
from umberusher.capacity.roles.formulas import at_planned_size, planned, watched_figure
from umberusher.capacity.roles.mechanisms import HEALTH_CHECKS, LONG_POLL
from umberusher.capacity.roles.quantities import (
    ID_PER_ENGINE,
    MACHINE_PER_ENGINE,
    ONE_DAY,
    broker_statement_rate,
    health_check_rate,
    restart_rate,
    zone_engines,
)
from umberusher.capacity.roles.sources import BROKER_START_BYTES

WATCHING = Role(
    "watching",
    "mechanisms that watch over the others",
    (
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "retry budget: statements counted",
            "statement/broker",
            planned(lambda costs: broker_statement_rate(costs) * costs.plan.counted_over),
            mechanism="a time for each (`umberusher/decisions/retry_budget.py`)",
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.RACK_LOST,
            "retry budget: statements that need a further attempt, until it is found out",
            "%",
            planned(lambda costs: costs.plan.rack / costs.plan.engines),
            "repeat_part",
            "retry budget (`umberusher/decisions/retry_budget.py`)",
            "ejection of many engines by what they share",
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ZONE_LOST,
            "retry budget: statements that need a further attempt, until it is found out",
            "%",
            planned(lambda costs: zone_engines(costs) / costs.plan.engines),
            "repeat_part",
            "retry budget (`umberusher/decisions/retry_budget.py`)",
            "ejection of a zone at once: lost engines are found out one by one",
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "slow start: engines that warm up at a time",
            "engine",
            planned(
                lambda costs: restart_rate(costs, costs.plan.engines * MACHINE_PER_ENGINE)
                / MACHINE_PER_ENGINE
                * costs.plan.warm_within
            ),
            mechanism="slow start (`umberusher/decisions/slow_start.py`)",
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ZONE_LOST,
            "slow start: cold engines among those held, once it is back",
            "%",
            planned(lambda costs: zone_engines(costs) / costs.plan.engines),
            mechanism="slow start, by the brokers that hold an engine",
        ),
        RowDefinition(
            Resource.TIME,
            Moment.ORDINARY,
            "drains: until a vanished control machine is noticed and its address asked anew, "
            "at the most",
            "s",
            planned(
                lambda costs: costs.program["poll_linger"]
                + costs.program["silent"]
                + costs.program["retry_most"]
            ),
            "in_force_within",
            LONG_POLL,
            "a second poll beside the first",
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "drains by hand, hot restart: ids that go in a day",
            "id/broker",
            planned(
                lambda costs: restart_rate(costs, costs.plan.engines * MACHINE_PER_ENGINE)
                / MACHINE_PER_ENGINE
                * ONE_DAY
                * ID_PER_ENGINE
            ),
            "ids_remembered",
            "`EndpointRegistry.remember`",
            "ids of engines that have gone, kept by time",
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.BROKER_START,
            "hot restart: bytes of the list that is passed on",
            "MB/broker",
            at_planned_size(BROKER_START_BYTES),
            "greeting_most",
            "`umberusher/hot_restart/successor.py`",
            "a list that is passed on in pieces",
        ),
        RowDefinition(
            Resource.TIME,
            Moment.BROKER_START,
            "hot restart: until the successor is ready",
            "s",
            watched_figure("successor_ready_s", "s", "s"),
            "ready_within",
            "`umberusher/hot_restart/successor.py`",
            "a list that is passed on in less time",
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "health: probes, at the most",
            "probe/s/broker",
            health_check_rate,
            mechanism=HEALTH_CHECKS,
        ),
        RowDefinition(
            Resource.TIME,
            Moment.ORDINARY,
            "health: ejection of an engine, at the most",
            "s",
            planned(lambda costs: costs.program["ejected_most"]),
            mechanism="ejection, doubling (`umberusher/decisions/outlier_detection.py`)",
        ),
    ),
)
