"""A scale run's plan: a script that sets ``run``, ``statements``, ``scenes`` and maybe ``real``.

    run = size(brokers = 2100, engines = 32000, regions = 3, zones = 8, control_machines = 19,
               workers = 8, seed = 1, memory_most = gb(12), wall_most = minutes(15),
               spread_most = ms(800))
    statements = traffic(rate = per_s(6190), stretch = ms(25), every = s(10), answer = ms(5))
    scenes = [scene("ordinary", changes = per_s(0.57), lasts = s(60)),
              scene("zone_lost", zone = 3, told_after = s(5))]
    real = serve(brokers = 4, engines = 32000, lasts = s(60))

The script is Starlark. ``plan_fields`` has all fields with their units and bounds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from umberusher.scale.plan_fields import (
    LOAD_FIELDS,
    REAL_FIELDS,
    SCENE_FIELDS,
    SIZE_FIELDS,
    UNITS,
    Field,
    PlanError,
    format_value,
    read_fields,
)
from umberusher.traces.scripts import Script, ScriptError

PRELUDE = (
    "".join(f'def {unit}(x):\n    return {{"unit": "{unit}", "value": x}}\n' for unit in UNITS)
    + """
def size(**fields):
    return {"is": "size", "fields": fields}
def traffic(**fields):
    return {"is": "traffic", "fields": fields}
def serve(**fields):
    return {"is": "serve", "fields": fields}
def scene(kind, **fields):
    return {"is": "scene", "kind": kind, "fields": fields}
real = None
"""
)
SCRIPT_VALUES = ("run", "statements", "scenes", "real")
SCENES_MAX = 40
ALL_SCENES_MAX_S = 7_200.0  # limit of all scenes' durations together, on the step clock
# Fields of scenes that hold an index, and the field of the size that bounds each.
NUMBERED_FIELDS = {"zone": "zones", "region": "regions"}


PlanSection = TypeVar("PlanSection")


@dataclass(slots=True)
class FleetSize:
    """The size of the fleet and the bounds of the run.

    Attributes:
        memory_max_mb: Memory of all workers together at which the run stops.
        wall_time_max_s: Wall time at which the run stops.
        propagation_max_s: The longest time until all control machines of a region have a change.
    """

    brokers: int
    engines: int
    regions: int
    zones: int
    control_machines: int
    workers: int
    seed: int
    memory_max_mb: float
    wall_time_max_s: float
    propagation_max_s: float


@dataclass(slots=True)
class StatementLoad:
    """The statements of each broker: a burst at the full rate, repeated.

    Attributes:
        rate_per_s: Statements a second within a burst.
        burst_s: The length of a burst.
        burst_interval_s: The time from one burst's start to the next.
        answer_s: The mean time of an engine's answer.
        in_flight: The load that each engine reports.
    """

    rate_per_s: float
    burst_s: float
    burst_interval_s: float
    answer_s: float
    in_flight: int


@dataclass(slots=True)
class RealBrokersPlan:
    """The load that real ``serve`` processes get on the wall clock."""

    brokers: int
    engines: int
    duration_s: float
    changes_per_s: float
    burst_entries: int
    statements_per_s: float


@dataclass(slots=True)
class ScenePlan:
    """One scene: its kind, its name in results, and its fields (in s, per s, or counts)."""

    kind: str
    name: str
    fields: dict[str, float]

    @property
    def duration_s(self) -> float:
        """How long the scene is played."""
        return self.fields["lasts"]

    def count(self, field: str) -> int:
        """Return a field that is a count."""
        return int(self.fields[field])


@dataclass(slots=True)
class Plan:
    """A checked plan."""

    name: str
    size: FleetSize
    load: StatementLoad
    scenes: list[ScenePlan]
    real: RealBrokersPlan | None


def from_fields(
    section_type: type[PlanSection], fields: Mapping[str, Field], values: Mapping[str, Any]
) -> PlanSection:
    """Return a section of a plan, created from the values of its fields."""
    return section_type(**{field.attribute: values[name] for name, field in fields.items()})


def to_fields(section: FleetSize | StatementLoad, fields: Mapping[str, Field]) -> dict[str, float]:
    """Return the values of a section of a plan by field name, as results contain them."""
    return {name: getattr(section, field.attribute) for name, field in fields.items()}


def load(path: str) -> Plan:
    """Read and check the plan of a file.

    Raises:
        PlanError: The script or a value is invalid; the message is one line with file and field.
    """
    try:
        script = Script.load(path, prelude=PRELUDE, values=SCRIPT_VALUES)
    except ScriptError as error:
        raise PlanError(str(error)) from None
    size = from_fields(FleetSize, SIZE_FIELDS, _read_section(script, "run", "size", SIZE_FIELDS))
    _check_size(script.name, size)
    scenes = _read_scenes(script, size)
    load_values = _read_section(script, "statements", "traffic", LOAD_FIELDS)
    real = None
    if script.get("real") is not None:
        real_values = _read_section(script, "real", "serve", REAL_FIELDS)
        real = from_fields(RealBrokersPlan, REAL_FIELDS, real_values)
    return Plan(
        script.name, size, from_fields(StatementLoad, LOAD_FIELDS, load_values), scenes, real
    )


def _read_section(
    script: Script, name: str, constructor: str, fields: Mapping[str, Field]
) -> dict[str, float]:
    value = script.get(name)
    if not isinstance(value, dict) or value.get("is") != constructor:
        raise PlanError(
            f"{script.name}: {name} must be {constructor}(...), not {format_value(value)}"
        )
    return read_fields(f"{script.name}: {name}", value["fields"], fields)


def _check_size(file: str, size: FleetSize) -> None:
    if size.regions > min(size.zones, size.control_machines, size.brokers):
        raise PlanError(
            f"{file}: run.regions must have a zone, a control machine and a broker each"
        )
    if size.zones > size.engines:
        raise PlanError(f"{file}: run.zones must have an engine each")


def _read_scenes(script: Script, size: FleetSize) -> list[ScenePlan]:
    given = script.get("scenes")
    if not isinstance(given, list) or not 0 < len(given) <= SCENES_MAX:
        raise PlanError(f"{script.name}: scenes must be a list of 1 to {SCENES_MAX} scenes")
    scenes: list[ScenePlan] = []
    for number, value in enumerate(given):
        place = f"{script.name}: scenes[{number}]"
        scenes.append(_read_scene(place, value, {scene.name for scene in scenes}, size))
    if scenes[0].kind != "start":
        raise PlanError(f"{script.name}: scenes[0].kind must be 'start': the fleet starts there")
    if sum(scene.duration_s for scene in scenes) > ALL_SCENES_MAX_S:
        raise PlanError(
            f"{script.name}: scenes.lasts must be {ALL_SCENES_MAX_S:g} s at the most together"
        )
    return scenes


def _read_scene(place: str, value: object, names: set[str], size: FleetSize) -> ScenePlan:
    if not isinstance(value, dict) or value.get("is") != "scene":
        raise PlanError(f"{place} must be scene(...), not {format_value(value)}")
    kind = value["kind"]
    given = dict(value["fields"])
    if kind not in SCENE_FIELDS:
        raise PlanError(f"{place}.kind {kind!r} is not known; kinds are {', '.join(SCENE_FIELDS)}")
    name = given.pop("name", kind)
    if not isinstance(name, str) or not name:
        raise PlanError(f"{place}.name must be a text, not {format_value(name)}")
    if name in names:
        raise PlanError(f"{place}.name {name!r} is there twice")
    scene = ScenePlan(kind, name, read_fields(f"{place} ({kind})", given, SCENE_FIELDS[kind]))
    _check_scene(f"{place} ({kind})", scene, size)
    return scene


def _check_scene(place: str, scene: ScenePlan, size: FleetSize) -> None:
    fields = scene.fields
    for field, bound in NUMBERED_FIELDS.items():
        limit = getattr(size, bound)
        if field in fields and fields[field] >= limit:
            raise PlanError(f"{place}.{field} must be below {limit:g}, not {fields[field]:g}")
    # All machines may be lost, so the limit itself is allowed although the message says "below".
    if "machines" in fields and fields["machines"] >= size.control_machines + 1:
        raise PlanError(
            f"{place}.machines must be below {size.control_machines:g}, not {fields['machines']:g}"
        )
    if "played" in fields and fields["played"] >= scene.duration_s:
        raise PlanError(f"{place}.played must be below lasts, {scene.duration_s:g} s")
