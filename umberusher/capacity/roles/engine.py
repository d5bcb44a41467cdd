"""The role of an engine, as a database sees the brokers."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition
from umberusher.capacity.roles.formulas import planned, scene_figure
from umberusher.capacity.roles.mechanisms import CHOICE_BY_LOAD, HEALTH_CHECKS, SUBSET
from umberusher.capacity.roles.quantities import (
    ONE_BROKER,
    broker_statement_rate,
    brokers_per_engine,
    health_check_rate,
    region_brokers,
    zone_engines,
)
from umberusher.capacity.roles.sources import ENGINE_STATEMENT_BYTES, ENGINE_STATEMENT_MESSAGES

ENGINE = Role(
    "engine",
    "engine, as a database sees the brokers",
    (
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "brokers that hold it, on the mean",
            "holding/engine",
            brokers_per_engine,
            mechanism=SUBSET,
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "brokers that hold it, largest over mean",
            "times",
            scene_figure(
                "ordinary",
                "brokers with it in scope an engine, largest over mean",
                "times",
                "times",
            ),
            "engine_imbalance",
            SUBSET,
            "a scope that is more even",
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "connections of all brokers, mean",
            "connection/engine",
            scene_figure(
                "ordinary", "connections an engine, mean", "connections", "connection/engine"
            ),
            mechanism=SUBSET,
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "connections of all brokers, largest over mean",
            "times",
            scene_figure("ordinary", "connections an engine, largest over mean", "times", "times"),
            mechanism=SUBSET,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "statements played, largest over mean",
            "times",
            scene_figure("ordinary", "statements an engine, largest over mean", "times", "times"),
            mechanism=CHOICE_BY_LOAD,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "statements played, largest over mean that chance alone gives",
            "times",
            scene_figure(
                "ordinary",
                "statements an engine, largest over mean by chance alone",
                "times",
                "times",
            ),
            mechanism=CHOICE_BY_LOAD,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "statements",
            "statement/s/engine",
            planned(lambda costs: costs.plan.statements / costs.plan.engines),
            mechanism=CHOICE_BY_LOAD,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "messages, probes with them",
            "message/s/engine",
            lambda costs: costs.cost(
                ENGINE_STATEMENT_MESSAGES, broker_statement_rate(costs) * ONE_BROKER
            )
            * costs.plan.statements
            / costs.plan.engines,
            mechanism=CHOICE_BY_LOAD,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "bytes, probes with them",
            "KB/s/engine",
            lambda costs: costs.cost(
                ENGINE_STATEMENT_BYTES, broker_statement_rate(costs) * ONE_BROKER
            )
            * costs.plan.statements
            / costs.plan.engines,
            mechanism=CHOICE_BY_LOAD,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ORDINARY,
            "probes, at the most",
            "probe/s/engine",
            lambda costs: health_check_rate(costs) * costs.plan.brokers / costs.plan.engines,
            mechanism=HEALTH_CHECKS,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.ZONE_LOST,
            "statements, for each that is left",
            "statement/s/engine",
            planned(
                lambda costs: costs.plan.statements / (costs.plan.engines - zone_engines(costs))
            ),
            mechanism=CHOICE_BY_LOAD,
        ),
        RowDefinition(
            Resource.MESSAGES,
            Moment.REGION_START,
            "brokers that come back to it",
            "holding/engine",
            lambda costs: brokers_per_engine(costs) * (region_brokers(costs) / costs.plan.brokers),
            mechanism=SUBSET,
        ),
    ),
)
