"""Quantities that the formulas of several roles use."""

from __future__ import annotations

from umberusher.capacity.estimates import Estimate, smaller
from umberusher.capacity.measured_costs import MeasuredCosts
from umberusher.capacity.roles.sources import DECISIONS_ARRIVAL_CPU, ENGINES_HELD
from umberusher.capacity.units import Quantity

# Factors of 1 that convert one counted unit into another.
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
# Each broker and each engine has a machine of its own.
MACHINE_PER_BROKER = Quantity.of(1, "machine/broker")
MACHINE_PER_ENGINE = Quantity.of(1, "machine/engine")
# Fractions of the control machines, in the scene that loses a third of them.
LOST_FRACTION = Quantity.of(1 / 3, "1")
REMAINING_FRACTION = Quantity.of(2 / 3, "1")


def zone_engines(costs: MeasuredCosts) -> Quantity:
    """Return the number of engines in a zone."""
    return costs.plan.engines / costs.plan.zones * ONE_ZONE


def broker_connections(costs: MeasuredCosts) -> Quantity:
    """Return the number of client connections of a broker."""
    return costs.plan.connections / costs.plan.brokers


def broker_statement_rate(costs: MeasuredCosts) -> Quantity:
    """Return the rate of statements of a broker."""
    return costs.plan.statements / costs.plan.brokers


def missed_changes(costs: MeasuredCosts) -> Quantity:
    """Return the number of changes that a region missed when it is connected again."""
    return costs.plan.changes * costs.plan.regions_apart


def burst_rate(costs: MeasuredCosts) -> Quantity:
    """Return the rate of update bursts if all changes arrive in bursts."""
    return costs.plan.changes / costs.plan.lump


def subset_arrival_cost(costs: MeasuredCosts) -> Estimate:
    """Return the cost of an arrival with as many engines as a broker's subset has."""
    engines_held = costs.cost(ENGINES_HELD, costs.plan.engines)
    if not engines_held.value:
        return engines_held
    return costs.cost(DECISIONS_ARRIVAL_CPU, engines_held.value)


def region_brokers(costs: MeasuredCosts) -> Quantity:
    """Return the number of brokers in a region."""
    return costs.plan.brokers / costs.plan.regions * ONE_REGION


def brokers_per_engine(costs: MeasuredCosts) -> Estimate:
    """Return the mean number of brokers that hold an engine."""
    return costs.cost(ENGINES_HELD, costs.plan.engines) * costs.plan.brokers / costs.plan.engines


def health_check_rate(costs: MeasuredCosts) -> Estimate:
    """Return the rate of health checks of a broker.

    A broker checks each engine that it holds once in an interval, and sends no more health checks
    than a fraction of its statements.
    """
    return smaller(
        costs.cost(ENGINES_HELD, costs.plan.engines)
        * (CHECK_PER_ENGINE / costs.program["probe_every"]),
        Estimate(broker_statement_rate(costs) * costs.program["probes"]),
    )


def restart_rate(costs: MeasuredCosts, machines: Quantity) -> Quantity:
    """Return the rate at which machines of a kind fail, are restarted or replaced.

    It is proportional to their share of all machines.
    """
    all_machines = (
        costs.plan.brokers * MACHINE_PER_BROKER
        + costs.plan.engines * MACHINE_PER_ENGINE
        + costs.plan.control_machines
    )
    return (costs.plan.failures + costs.plan.replacements) * (machines / all_machines)


def poll_rate(costs: MeasuredCosts) -> Quantity:
    """Return the rate of polls of a broker: one is always pending, and each change ends one."""
    return POLL_PER_BROKER / costs.program["poll_linger"] + POLL_PER_CHANGE * costs.plan.changes
