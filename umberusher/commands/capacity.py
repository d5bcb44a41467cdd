"""Shared code of the capacity commands: reads plan, measurements and page, and lists constants."""

from __future__ import annotations

import argparse
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from umberusher.capacity import plan as plans
from umberusher.capacity.budget_rows import Row
from umberusher.capacity.measured_costs import EARLIER_VERSION, MeasuredCosts
from umberusher.capacity.measurement import Measurement, read_measurement
from umberusher.capacity.plan import Plan, PlanError
from umberusher.capacity.roles import ROLES
from umberusher.capacity.scale_records import ScaleRecord, read_scale_record, read_watched_brokers
from umberusher.capacity.tables import make_tables
from umberusher.capacity.units import Quantity, UnitError
from umberusher.decisions import health_checks, outlier_detection
from umberusher.discovery import backoff
from umberusher.discovery import client as discovery_client
from umberusher.endpoints import manual_drains
from umberusher.errors import UsageError
from umberusher.hot_restart import successor
from umberusher.protocol import discovery as codec
from umberusher.traces.scripts import Script, ScriptError

# Constants of the program that the capacity page quotes: when one changes, the page must be updated.
PROGRAM_CONSTANTS = {
    "poll_linger": Quantity.of(discovery_client.POLL_LINGER_MS, "ms"),
    "silent": Quantity.of(discovery_client.OVERDUE_AFTER_MS, "ms"),
    "retry_most": Quantity.of(backoff.MAX_RECONNECT_BACKOFF_MS, "ms"),
    "ids_remembered": Quantity.of(manual_drains.MAX_REMOVED_IDS, "id/broker"),
    "probe_every": Quantity.of(health_checks.MIN_INTERVAL_MS, "ms"),
    "probes": Quantity.of(health_checks.CHECKS_PER_REQUEST, "probe/statement"),
    "ejected_most": Quantity.of(outlier_detection.MAX_EJECTION_MS, "ms"),
}
# Maps the version in a record of watched brokers to the suffix of the record's key.
VERSION_SUFFIXES = {"now": "", "before": EARLIER_VERSION}


def program_constants(plan: Plan) -> dict[str, Quantity]:
    """Return the program's constants and those derived from the planned memory of a broker."""
    list_max_bytes = codec.max_answer_bytes(plan.control_memory.to("MB/broker"))
    return PROGRAM_CONSTANTS | {
        "list_most": Quantity.of(list_max_bytes, "B/broker"),
        "greeting_most": Quantity.of(successor.MESSAGE_TO_LIST_RATIO * list_max_bytes, "B/broker"),
    }


def load_plan(path: str) -> Plan:
    """Return the capacity plan in a file.

    Raises:
        PlanError: The plan is not valid; the text has one line per fault, with file, line and field.
    """
    try:
        script = Script.load(path, prelude=plans.PRELUDE, values=("size",))
    except ScriptError as error:
        raise PlanError(str(error)) from None
    return plans.read_plan(script.name, script.text, script.get("size"))


@dataclass(slots=True)
class LoadedMeasurements:
    """The measurements in a folder.

    Attributes:
        measurements: The measurements, by file name without the suffix.
        records: The records of scale runs and watched brokers among them.
        faults: One line for each file that is not a valid measurement.
    """

    measurements: dict[str, Measurement] = field(default_factory=dict)
    records: dict[str, ScaleRecord] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)


def load_measurements(folder: str) -> LoadedMeasurements:
    """Return all measurements and scale runs in a folder."""
    loaded = LoadedMeasurements()
    for path in sorted(Path(folder).glob("*.json")):
        try:
            _load_measurement(path, loaded)
        except (OSError, ValueError) as error:
            # A ValueError raised by the checks names the file; one of the JSON decoder does not.
            text = str(error)
            message = text if text.startswith(str(path)) else f"{path}: {text}"
            loaded.faults.append(message.splitlines()[0])
    return loaded


def _load_measurement(path: Path, loaded: LoadedMeasurements) -> None:
    raw = json.loads(path.read_text(encoding="utf-8"))
    measurement = read_measurement(raw, str(path))
    key = path.name.removesuffix(".json")
    if measurement.name != path.name.split(".")[0]:
        raise ValueError(f"{path}: name: is {measurement.name!r}, and the file has another")
    loaded.records |= _read_records(raw, key, str(path))
    loaded.measurements[key] = measurement


def _read_records(raw: dict[str, Any], key: str, file: str) -> dict[str, ScaleRecord]:
    """Return the records in a measurement: its scale run and its watched brokers per version."""
    records = {}
    if "figures" in raw:
        records[key] = read_scale_record(raw, file)
    if "plays" in raw:
        for version, record in read_watched_brokers(raw, file).items():
            records[key + VERSION_SUFFIXES.get(version, f".{version}")] = record
    return records


def read_page(path: str) -> str:
    """Return a page's text.

    Raises:
        UsageError: The page cannot be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not text"
        raise UsageError(f"{path}: {reason}") from None


@dataclass(slots=True, frozen=True)
class CapacityReport:
    """The capacity page's content.

    Attributes:
        costs: The costs that the page is computed from.
        tables: The lines of each table, by block.
        rows: The rows of the roles' tables.
        faults: One line for each file that is not a valid measurement.
    """

    costs: MeasuredCosts
    tables: dict[str, list[str]]
    rows: list[Row]
    faults: list[str]


def make_report(args: argparse.Namespace) -> CapacityReport:
    """Return the capacity page's content for the plan and the measurements of the command line.

    Raises:
        UsageError: The plan is not valid, or a measurement has a wrong unit.
    """
    loaded = load_measurements(args.measurements)
    plan = load_plan(args.plan)
    costs = MeasuredCosts(plan, program_constants(plan), loaded.measurements, loaded.records)
    try:
        tables = make_tables(ROLES, costs, EARLIER_VERSION)
    except UnitError as error:
        raise UsageError(f"{args.measurements}: {error}") from None
    return CapacityReport(costs, tables.blocks, tables.rows, loaded.faults)
