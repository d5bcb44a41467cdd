"""The role of a client connection."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition
from umberusher.capacity.roles.formulas import planned
from umberusher.capacity.roles.quantities import (
    MACHINE_PER_BROKER,
    ONE_BROKER,
    broker_connections,
    region_brokers,
    restart_rate,
)
from umberusher.capacity.roles.sources import IDLE_CONNECTION_BYTES, STATEMENT_CPU

CLIENT_CONNECTION = Role(
    "client-connection",
    "client connection",
    (
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "statements on each",
            "statement/s/connection",
            planned(lambda costs: costs.plan.statements / costs.plan.connections),
            mechanism="`frontend/client_connection.py`",
        ),
        RowDefinition(
            Resource.STATE,
            Moment.ORDINARY,
            "made anew, by the brokers that fail or are replaced",
            "connection/s",
            planned(
                lambda costs: restart_rate(costs, costs.plan.brokers * MACHINE_PER_BROKER)
                / MACHINE_PER_BROKER
                * broker_connections(costs)
            ),
            mechanism="hot restart passes them on, where it is the same machine",
        ),
        RowDefinition(
            Resource.STATE,
            Moment.REGION_START,
            "made anew",
            "connection",
            planned(lambda costs: broker_connections(costs) * region_brokers(costs)),
            mechanism="",
            missing_mechanism="a pace at which clients come back: not in the protocol",
        ),
        RowDefinition(
            Resource.MEMORY,
            Moment.ORDINARY,
            "quiet",
            "KB/connection",
            lambda costs: costs.cost(IDLE_CONNECTION_BYTES, broker_connections(costs) * ONE_BROKER),
            mechanism="buffers given back while quiet",
        ),
        RowDefinition(
            Resource.PROCESSOR,
            Moment.ORDINARY,
            "a statement on sockets, a closed loop of 64 before six engines",
            "core us/statement",
            lambda costs: costs.cost(STATEMENT_CPU),
            mechanism="the loop, six stages",
        ),
    ),
)
