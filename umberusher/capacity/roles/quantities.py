"""Quantities that several roles' formulas are made of."""

from __future__ import annotations

from umberusher.capacity.estimates import Estimate, smaller
from umberusher.capacity.measured_costs import MeasuredCosts
from umberusher.capacity.roles.sources import DECISIONS_ARRIVAL_CPU, ENGINES_HELD
from umberusher.capacity.units import Quantity

# One of each thing, by what it belongs to: they turn a count into another unit.
ONE_ZONE = Quantity.of(1, "zone")
ONE_REGION = Quantity.of(1, "region")
ONE_BROKER = Quantity.of(1, "broker")
ONE_MACHINE = Quantity.of(1, "machine")
ONE_DAY = Quantity.of(1, "day")
POLL_PER_BROKER = Quantity.of(1, "poll/broker")
POLL_PER_CHANGE = Quantity.of(1, "poll/change/broker")
CHECK_PER_ENGINE = Quantity.of(1, "probe/holding")
CALL_PER_ENGINE = Quantity.of(1, "call/engine/broker")
ID_PER_ENGINE = Quantity.of(1, "id/engine/broker")
# Each broker and each engine is one machine of its own.
MACHINE_PER_BROKER = Quantity.of(1, "machine/broker")
MACHINE_PER_ENGINE = Quantity.of(1, "machine/engine")
# Of the control machines, in the scene in which a third is lost.
LOST_FRACTION = Quantity.of(1 / 3, "1")
REMAINING_FRACTION = Quantity.of(2 / 3, "1")


def zone_engines(costs: MeasuredCosts) -> Quantity:
    """Return the engines of a zone."""
    return costs.plan.engines / costs.plan.zones * ONE_ZONE


def broker_connections(costs: MeasuredCosts) -> Quantity:
    """Return the client connections of a broker."""
    return costs.plan.connections / costs.plan.brokers


def broker_statement_rate(costs: MeasuredCosts) -> Quantity:
    """Return the statements a second of a broker."""
    return costs.plan.statements / costs.plan.brokers


def missed_changes(costs: MeasuredCosts) -> Quantity:
    """Return the changes that a region was not notified of when it is back."""
    return costs.plan.changes * costs.plan.regions_apart


def burst_rate(costs: MeasuredCosts) -> Quantity:
    """Return the update bursts in a time, where all changes come in bursts."""
    return costs.plan.changes / costs.plan.lump


def subset_arrival_cost(costs: MeasuredCosts) -> Estimate:
    """Return the cost of an arrival among as many engines as a broker holds at the size."""
    engines_held = costs.cost(ENGINES_HELD, costs.plan.engines)
    if not engines_held.value:
        return engines_held
    return costs.cost(DECISIONS_ARRIVAL_CPU, engines_held.value)


def region_brokers(costs: MeasuredCosts) -> Quantity:
    """Return the brokers of a region."""
    return costs.plan.brokers / costs.plan.regions * ONE_REGION


def brokers_per_engine(costs: MeasuredCosts) -> Estimate:
    """Return how many brokers hold an engine, on the mean."""
    return costs.cost(ENGINES_HELD, costs.plan.engines) * costs.plan.brokers / costs.plan.engines


def health_check_rate(costs: MeasuredCosts) -> Estimate:
    """Return the health checks a second of a broker.

    One at an interval to each engine that it holds, and no more than a fraction of its statements.
    """
    return smaller(
        costs.cost(ENGINES_HELD, costs.plan.engines)
        * (CHECK_PER_ENGINE / costs.program["probe_every"]),
        Estimate(broker_statement_rate(costs) * costs.program["probes"]),
    )


def restart_rate(costs: MeasuredCosts, machines: Quantity) -> Quantity:
    """Return how many machines of a kind fail, are restarted or replaced: by its share of all."""
    all_machines = (
        costs.plan.brokers * MACHINE_PER_BROKER
        + costs.plan.engines * MACHINE_PER_ENGINE
        + costs.plan.control_machines
    )
    return (costs.plan.failures + costs.plan.replacements) * (machines / all_machines)


def poll_rate(costs: MeasuredCosts) -> Quantity:
    """Return the polls a second of a broker: one is out at any time, and each change ends one."""
    return POLL_PER_BROKER / costs.program["poll_linger"] + POLL_PER_CHANGE * costs.plan.changes
