"""The role of discovery and its control machines."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition
from umberusher.capacity.roles.formulas import planned, scene_figure
from umberusher.capacity.roles.mechanisms import (
    ADDRESS_POLLED_AGAIN,
    LAST_LIST_KEPT,
    LONG_POLL,
    SEVERAL_ADDRESSES,
    USERS_DISCOVERY,
)
from umberusher.capacity.roles.quantities import (
    LOST_FRACTION,
    ONE_MACHINE,
    REMAINING_FRACTION,
    missed_changes,
    poll_rate,
    region_brokers,
    zone_engines,
)
from umberusher.capacity.roles.sources import (
    BROKER_START_BYTES,
    CONTROL_BYTES,
    DISCOVERY_BURST_CPU,
    DISCOVERY_CHANGE_CPU,
    DISCOVERY_IDLE_CPU_SHARE,
    DISCOVERY_START_CPU,
    UPDATE_BURST_BYTES,
)

DISCOVERY = Role(
    "discovery",
    "discovery and its machines",
    (
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "brokers a machine",
            "broker/machine",
            planned(lambda costs: costs.plan.brokers / costs.plan.control_machines),
            mechanism=USERS_DISCOVERY,
        ),
        RowDefinition(
            Resource.STATE,
            Moment.CONTROL_THIRD_LOST,
            "brokers for each that is left",
            "broker/machine",
            planned(
                lambda costs: costs.plan.brokers
                / (costs.plan.control_machines * REMAINING_FRACTION)
            ),
            mechanism=USERS_DISCOVERY,
        ),
        *(
            RowDefinition(
                Resource.STATE,
                moment,
                f"brokers that heard nothing meanwhile{detail}",
                "broker",
                scene_figure(scene, "brokers without word for the whole time", "brokers", "broker"),
                mechanism=mechanism,
                missing_mechanism=SEVERAL_ADDRESSES,
            )
            for scene, moment, detail, mechanism in (
                ("one control machine lost", Moment.CONTROL_ONE_LOST, "", ADDRESS_POLLED_AGAIN),
                (
                    "one lost, own addresses",
                    Moment.CONTROL_ONE_LOST,
                    ", where each machine has its own address",
                    "",
                ),
                ("a third of control lost", Moment.CONTROL_THIRD_LOST, "", ADDRESS_POLLED_AGAIN),
                ("all control lost", Moment.CONTROL_ALL_LOST, "", LAST_LIST_KEPT),
                ("regions_apart", Moment.REGIONS_APART, "", LAST_LIST_KEPT),
            )
        ),
        RowDefinition(
            Resource.STATE,
            Moment.CONTROL_THIRD_LOST,
            "brokers that hear nothing, where each machine has its own address",
            "broker",
            planned(lambda costs: costs.plan.brokers * LOST_FRACTION),
            missing_mechanism=SEVERAL_ADDRESSES,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "answers to polls, at the most",
            "poll/s/machine",
            planned(
                lambda costs: poll_rate(costs) * costs.plan.brokers / costs.plan.control_machines
            ),
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "bytes told",
            "KB/s/machine",
            lambda costs: costs.cost(CONTROL_BYTES, costs.plan.engines)
            * costs.plan.brokers
            / costs.plan.control_machines,
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ZONE_LOST,
            "bytes told, spread over the time in which they must be in force",
            "MB/s/machine",
            lambda costs: costs.cost(UPDATE_BURST_BYTES, zone_engines(costs))
            * costs.plan.brokers
            / costs.plan.control_machines
            / costs.plan.in_force_within,
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.REGION_START,
            "bytes told",
            "MB/machine",
            lambda costs: costs.cost(BROKER_START_BYTES, costs.plan.engines)
            * region_brokers(costs)
            / costs.plan.control_machines,
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.REGION_START,
            "bytes told, spread over the time in which they must be ready",
            "MB/s/machine",
            lambda costs: costs.cost(BROKER_START_BYTES, costs.plan.engines)
            * region_brokers(costs)
            / costs.plan.control_machines
            / costs.plan.ready_within,
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.REGIONS_APART,
            "bytes told to a region",
            "MB/machine",
            lambda costs: costs.cost(UPDATE_BURST_BYTES, missed_changes(costs))
            * region_brokers(costs)
            / costs.plan.control_machines,
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.PROCESSOR,
            Moment.ORDINARY,
            "polls that end without news",
            "% core/machine",
            lambda costs: costs.cost(
                DISCOVERY_IDLE_CPU_SHARE,
                costs.plan.brokers / costs.plan.control_machines * ONE_MACHINE,
            ),
            mechanism=USERS_DISCOVERY,
        ),
        RowDefinition(
            Resource.PROCESSOR,
            Moment.ORDINARY,
            "changes told",
            "% core/machine",
            lambda costs: costs.cost(
                DISCOVERY_CHANGE_CPU, costs.plan.brokers / costs.plan.control_machines * ONE_MACHINE
            )
            * costs.plan.changes,
            mechanism=USERS_DISCOVERY,
        ),
        RowDefinition(
            Resource.PROCESSOR,
            Moment.ZONE_LOST,
            "its changes told",
            "core ms/machine",
            lambda costs: costs.cost(DISCOVERY_BURST_CPU, zone_engines(costs))
            * costs.plan.brokers
            / costs.plan.control_machines,
            mechanism=USERS_DISCOVERY,
        ),
        RowDefinition(
            Resource.PROCESSOR,
            Moment.REGION_START,
            "first lists told",
            "core s/machine",
            lambda costs: costs.cost(DISCOVERY_START_CPU, costs.plan.engines)
            * region_brokers(costs)
            / costs.plan.control_machines,
            mechanism=USERS_DISCOVERY,
        ),
    ),
)
