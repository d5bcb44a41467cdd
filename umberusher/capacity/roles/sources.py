"""The measurements that the roles' figures are read from."""

from __future__ import annotations

from umberusher.capacity.measured_costs import MeasurementSource

# What the sizes of a measurement count, as written in its file.
ENGINES_LISTED = "engines listed"
CHANGE_ENTRIES = "entries of a change"
FOLLOWING_BROKERS = "brokers that follow it"
STATEMENTS_OFFERED = "statements a second offered"
QUIET_CONNECTIONS = "quiet connections"

ARRIVAL_CPU = MeasurementSource("broker-arrival-cpu", ENGINES_LISTED, "us", "core us/statement")
CHANGE_CPU = MeasurementSource("broker-change-cpu", ENGINES_LISTED, "us", "core us/change/broker")
FIRST_LIST_CPU = MeasurementSource("broker-first-list-cpu", ENGINES_LISTED, "ms", "core ms/broker")
ENGINES_HELD = MeasurementSource("broker-engines-held", ENGINES_LISTED, "engines", "holding/broker")
CONTROL_CPU_SHARE = MeasurementSource("broker-control-share", ENGINES_LISTED, "%", "% core/broker")
CONTROL_BYTES = MeasurementSource("broker-control-bytes", ENGINES_LISTED, "B/s", "B/s/broker")
CONTROL_ANSWER_RATE = MeasurementSource(
    "broker-control-messages", ENGINES_LISTED, "1/s", "poll/s/broker"
)
BROKER_MEMORY = MeasurementSource("broker-memory-resident", ENGINES_LISTED, "MB", "MB/broker")
BROKER_READY_TIME = MeasurementSource("broker-start-ready", ENGINES_LISTED, "s", "s")
BROKER_START_CPU = MeasurementSource("broker-start-cpu", ENGINES_LISTED, "s", "core s/broker")
UPDATE_BURST_CPU = MeasurementSource("broker-lump-cpu", CHANGE_ENTRIES, "ms", "core ms/broker")
DECISIONS_ARRIVAL_CPU = MeasurementSource(
    "module-arrival-cpu", "engines told", "us", "core us/statement"
)
STATEMENT_CPU = MeasurementSource(
    "statement-cost", "clients with one call open each", "us", "core us/statement"
)
MAX_STATEMENT_RATE = MeasurementSource("statement-most", "engines", "1/s", "statement/s/core")
IDLE_CONNECTION_BYTES = MeasurementSource("idle-connection", "connections", "bytes", "B/connection")
IDLE_CONNECTIONS_CPU_SHARE = MeasurementSource(
    "client-idle-share", QUIET_CONNECTIONS, "%", "% core/broker"
)
ENGINE_STATEMENT_BYTES = MeasurementSource(
    "engine-statement-bytes", STATEMENTS_OFFERED, "B", "B/statement"
)
ENGINE_STATEMENT_MESSAGES = MeasurementSource(
    "engine-statement-messages", STATEMENTS_OFFERED, "messages", "message/statement"
)
# Until the broker waits for updates: one complete list, if the broker can hold it.
BROKER_START_BYTES = MeasurementSource("broker-start-bytes", ENGINES_LISTED, "B", "B/broker")
DISCOVERY_START_CPU = MeasurementSource(
    "discovery-start-cpu", ENGINES_LISTED, "ms", "core ms/broker"
)
UPDATE_BURST_BYTES = MeasurementSource("discovery-lump-bytes", CHANGE_ENTRIES, "B", "B/broker")
DISCOVERY_BURST_CPU = MeasurementSource(
    "discovery-lump-cpu", CHANGE_ENTRIES, "ms", "core ms/broker"
)
DISCOVERY_CHANGE_CPU = MeasurementSource(
    "discovery-change-cpu", FOLLOWING_BROKERS, "ms", "core ms/change/machine"
)
DISCOVERY_IDLE_CPU_SHARE = MeasurementSource(
    "discovery-idle-share", FOLLOWING_BROKERS, "%", "% core/machine"
)
