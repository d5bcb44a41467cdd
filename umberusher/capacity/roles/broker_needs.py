"""A broker's state, messages, memory and times, from measurements of one broker."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, RowDefinition
from umberusher.capacity.roles.formulas import at_planned_size, planned
from umberusher.capacity.roles.mechanisms import (
    CHUNKED_LIST,
    DIRECTORY,
    HELD_LIST,
    LONG_POLL,
    SUBSET,
)
from umberusher.capacity.roles.quantities import (
    ONE_BROKER,
    broker_connections,
    burst_rate,
    missed_changes,
    zone_engines,
)
from umberusher.capacity.roles.sources import (
    BROKER_MEMORY,
    BROKER_READY_TIME,
    BROKER_START_BYTES,
    CONTROL_ANSWER_RATE,
    CONTROL_BYTES,
    ENGINES_HELD,
    IDLE_CONNECTION_BYTES,
    UPDATE_BURST_BYTES,
)

STATE_ROWS: tuple[RowDefinition, ...] = (
    RowDefinition(
        Resource.STATE,
        Moment.ORDINARY,
        "engines listed",
        "engine",
        planned(lambda costs: costs.plan.engines),
        mechanism=DIRECTORY,
    ),
    RowDefinition(
        Resource.STATE,
        Moment.ORDINARY,
        "engines held",
        "holding/broker",
        at_planned_size(ENGINES_HELD),
        mechanism=SUBSET,
    ),
    RowDefinition(
        Resource.STATE,
        Moment.ORDINARY,
        "client connections",
        "connection/broker",
        planned(broker_connections),
        mechanism="the loop, `frontend/client_connection.py`",
    ),
)
MESSAGE_ROWS: tuple[RowDefinition, ...] = (
    RowDefinition(
        Resource.MESSAGES,
        Moment.ORDINARY,
        "changes told",
        "change/s",
        planned(lambda costs: costs.plan.changes),
        mechanism=LONG_POLL,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.ORDINARY,
        "answers of discovery",
        "poll/s/broker",
        at_planned_size(CONTROL_ANSWER_RATE),
        mechanism=LONG_POLL,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.ORDINARY,
        "bytes of discovery",
        "KB/s/broker",
        at_planned_size(CONTROL_BYTES),
        "control_bytes",
        LONG_POLL,
        CHUNKED_LIST,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.RACK_LOST,
        "bytes of its changes",
        "KB/broker",
        lambda costs: costs.cost(UPDATE_BURST_BYTES, costs.plan.rack),
        mechanism=LONG_POLL,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.ZONE_LOST,
        "bytes of its changes",
        "KB/broker",
        lambda costs: costs.cost(UPDATE_BURST_BYTES, zone_engines(costs)),
        mechanism=LONG_POLL,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.ZONE_LOST,
        "the same, spread over the time in which they must be in force",
        "KB/s/broker",
        lambda costs: costs.cost(UPDATE_BURST_BYTES, zone_engines(costs))
        / costs.plan.in_force_within,
        "control_bytes",
        "",
        CHUNKED_LIST,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.UPDATE_BURST,
        "bytes of a day's changes, all in lumps, spread over the day",
        "KB/s/broker",
        lambda costs: costs.cost(UPDATE_BURST_BYTES, costs.plan.lump) * burst_rate(costs),
        "control_bytes",
        LONG_POLL,
        CHUNKED_LIST,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.REGIONS_APART,
        "changes told at once",
        "change",
        planned(missed_changes),
        mechanism=LONG_POLL,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.REGIONS_APART,
        "bytes of them",
        "KB/broker",
        lambda costs: costs.cost(UPDATE_BURST_BYTES, missed_changes(costs)),
        mechanism=LONG_POLL,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.BROKER_START,
        "bytes of discovery until it waits for news: the list",
        "MB/broker",
        at_planned_size(BROKER_START_BYTES),
        "list_most",
        "`protocol.discovery.max_answer_bytes`, by a broker's memory",
        "a list in pieces: not in the protocol",
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.BROKER_START,
        "time of the first list at no more than a broker's bytes for control",
        "s",
        lambda costs: costs.cost(BROKER_START_BYTES, costs.plan.engines) / costs.plan.control_bytes,
        "ready_within",
        "",
        CHUNKED_LIST,
    ),
)
MEMORY_ROWS: tuple[RowDefinition, ...] = (
    RowDefinition(
        Resource.MEMORY,
        Moment.ORDINARY,
        "for control: all of a broker without clients",
        "MB/broker",
        at_planned_size(BROKER_MEMORY),
        "control_memory",
        DIRECTORY,
        "a directory that is smaller",
    ),
    RowDefinition(
        Resource.MEMORY,
        Moment.ORDINARY,
        "its client connections, all quiet, beside that",
        "MB/broker",
        lambda costs: costs.cost(IDLE_CONNECTION_BYTES, broker_connections(costs) * ONE_BROKER)
        * broker_connections(costs),
        mechanism="buffers given back while quiet",
    ),
)
TIME_ROWS: tuple[RowDefinition, ...] = (
    RowDefinition(
        Resource.TIME,
        Moment.BROKER_START,
        "until it is ready",
        "s",
        at_planned_size(BROKER_READY_TIME),
        "ready_within",
        LONG_POLL,
        HELD_LIST,
    ),
)
