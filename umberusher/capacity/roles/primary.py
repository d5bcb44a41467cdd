"""The role of a change of primary."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition
from umberusher.capacity.roles.formulas import planned, scene_figure
from umberusher.capacity.roles.mechanisms import DRAINS, LONG_POLL
from umberusher.capacity.units import Quantity

PRIMARY_CHANGE = Role(
    "primary",
    "a change of primary",
    (
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "changes told for them: a drain and a new entry each",
            "change/day",
            planned(lambda costs: costs.plan.primary_changes * Quantity.of(2, "1")),
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.TIME,
            Moment.ORDINARY,
            "until it is over at a broker, largest",
            "s",
            scene_figure("primary_change", "change of primary over at a broker, largest", "s", "s"),
            "primary_within",
            LONG_POLL + ", the line of a key",
            "an order of promotion: not in the protocol",
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "brokers where it is not over at the end",
            "broker",
            scene_figure("primary_change", "brokers where it is not over", "brokers", "broker"),
            mechanism=LONG_POLL + ", the line of a key",
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "attempts to what was told as gone",
            "attempt",
            scene_figure(
                "primary_change", "attempts to what was told as gone", "attempts", "attempt"
            ),
            mechanism=DRAINS,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "rules broken",
            "1",
            scene_figure("primary_change", "rules broken", "breaches", "1"),
            mechanism="the checker's count",
        ),
        RowDefinition(
            Resource.TIME,
            Moment.ORDINARY,
            "a control machine vanishes at that moment, and a key rests, at the most",
            "s",
            planned(
                lambda costs: costs.program["poll_linger"]
                + costs.program["silent"]
                + costs.program["retry_most"]
                + costs.plan.settle_after_doubt
            ),
            "primary_within",
            LONG_POLL + ", the line of a key",
            "a second poll beside the first",
        ),
    ),
)
