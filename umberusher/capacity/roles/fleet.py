"""The role of all brokers together, as scale runs simulate them."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Formula, Moment, Resource, Role, RowDefinition
from umberusher.capacity.roles.formulas import planned, scene_figure
from umberusher.capacity.roles.mechanisms import (
    ALTERNATE_CONTROL,
    CHUNKED_LIST,
    DRAINS,
    LONG_POLL,
    SEVERAL_ADDRESSES,
)


def served_fraction(scene: str) -> Formula:
    """Return the formula of the fraction of a scene's ended statements that were served."""
    served, *others = (
        scene_figure(scene, f"statements {word}", "statements", "statement")
        for word in ("served", "refused", "failed", "expired", "with its broker")
    )
    return lambda costs: served(costs) / sum((each(costs) for each in others), served(costs))


def scene_rows(scene: str, moment: Moment) -> tuple[RowDefinition, ...]:
    """Return the rows that each scene of a scale run has."""
    # If no updates can be sent, times count from the end of the interruption: changes that are
    # made during it have a row of their own.
    no_updates = moment in (Moment.REGIONS_APART, Moment.CONTROL_ALL_LOST)
    return (
        RowDefinition(
            Resource.TIME,
            moment,
            f"until a change is in force at the last broker"
            f"{', from the return on' * no_updates}, 50th",
            "s",
            scene_figure(scene, "change in force at the last broker, 50th", "s", "s"),
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.TIME,
            moment,
            "the same, 99th",
            "s",
            scene_figure(scene, "change in force at the last broker, 99th", "s", "s"),
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.TIME,
            moment,
            "the same, largest",
            "s",
            scene_figure(scene, "change in force at the last broker, largest", "s", "s"),
            "" if no_updates else "in_force_within",
            LONG_POLL,
            SEVERAL_ADDRESSES if "lost" in moment else CHUNKED_LIST,
        ),
        *(
            (
                RowDefinition(
                    Resource.TIME,
                    moment,
                    "until a change that is made meanwhile is in force everywhere, at the least",
                    "s",
                    planned(lambda costs: costs.plan.regions_apart),
                    "in_force_within",
                    "",
                    ALTERNATE_CONTROL,
                ),
            )
            if no_updates
            else ()
        ),
        # The scene of update bursts sends them far closer together than they occur in a day, so
        # its bytes per second do not describe the planned size and have no budget. A day's bursts
        # are a row of the broker.
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "a broker's bytes for control, mean of all over the scene",
            "KB/s/broker",
            scene_figure(scene, "control bytes of a broker, mean", "KB/s", "KB/s/broker"),
            "" if moment == Moment.UPDATE_BURST else "control_bytes",
            LONG_POLL,
            CHUNKED_LIST,
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "a machine for control at its worst second, bytes",
            "MB/s/machine",
            scene_figure(
                scene, "a control machine at its worst second, bytes", "MB/s", "MB/s/machine"
            ),
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "a machine for control at its worst second, polls",
            "poll/s/machine",
            scene_figure(
                scene,
                "a control machine at its worst second, requests",
                "requests/s",
                "poll/s/machine",
            ),
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "attempts to what was told as gone",
            "attempt",
            scene_figure(scene, "attempts to what was told as gone", "attempts", "attempt"),
            mechanism=DRAINS,
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "statements served, of those that have ended",
            "%",
            served_fraction(scene),
            mechanism="retry budget, ejection",
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "statements refused",
            "statement",
            scene_figure(scene, "statements refused", "statements", "statement"),
            mechanism="retry budget, ejection",
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "statements failed",
            "statement",
            scene_figure(scene, "statements failed", "statements", "statement"),
            mechanism="retry budget, ejection",
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "statements without an end",
            "statement",
            scene_figure(scene, "statements without an end", "statements", "statement"),
            mechanism="`pipeline/request_registry.py`",
        ),
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "rules broken",
            "1",
            scene_figure(scene, "rules broken", "breaches", "1"),
            mechanism="the checker's count",
        ),
    )


FLEET = Role(
    "fleet",
    "all brokers together, played",
    (
        *scene_rows("ordinary", Moment.ORDINARY),
        *scene_rows("lumps", Moment.UPDATE_BURST),
        *scene_rows("zone_lost", Moment.ZONE_LOST),
        *scene_rows("region_start", Moment.REGION_START),
        # No budget: on the step clock, transfer and parsing of the list take no time.
        RowDefinition(
            Resource.TIME,
            Moment.REGION_START,
            "until a broker has its first list, waits alone, largest",
            "s",
            scene_figure("region_start", "start until the first list, largest", "s", "s"),
            mechanism=LONG_POLL,
        ),
        RowDefinition(
            Resource.STATE,
            Moment.REGION_START,
            "brokers not ready at the end",
            "broker",
            scene_figure("region_start", "brokers not ready", "brokers", "broker"),
            mechanism=LONG_POLL,
        ),
        *scene_rows("one control machine lost", Moment.CONTROL_ONE_LOST),
        *scene_rows("a third of control lost", Moment.CONTROL_THIRD_LOST),
        *scene_rows("all control lost", Moment.CONTROL_ALL_LOST),
        *scene_rows("regions_apart", Moment.REGIONS_APART),
    ),
)
