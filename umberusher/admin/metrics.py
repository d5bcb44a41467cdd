"""The metrics of a broker in the Prometheus text format, version 0.0.4."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from umberusher.deadlines.account import DeadlineAccount, FinalOutcome

COUNTER = "counter"
GAUGE = "gauge"


class Sample(NamedTuple):
    """One value of a metric, with its labels."""

    labels: Mapping[str, str]
    value: int


class MetricFamily(NamedTuple):
    """All samples of one metric."""

    name: str
    kind: str
    help_text: str
    samples: list[Sample]


def counter(name: str, help_text: str, value: int) -> MetricFamily:
    """Return a counter without labels."""
    return MetricFamily(f"svc_{name}_total", COUNTER, help_text, [Sample({}, value)])


def gauge(name: str, help_text: str, value: int) -> MetricFamily:
    """Return a gauge without labels."""
    return MetricFamily(f"svc_{name}", GAUGE, help_text, [Sample({}, value)])


def final_answer_families(
    final_answers: Mapping[FinalOutcome, Mapping[str, int]], classes: Iterable[str]
) -> list[MetricFamily]:
    """Return a counter for each kind of final answer, by class.

    Args:
        final_answers: The counts by outcome and class.
        classes: All classes; one without an answer counts as 0.
    """
    class_names = list(classes)
    return [
        MetricFamily(
            f"svc_{answer.value}_total",
            COUNTER,
            f"Requests {answer.value}, by class.",
            [
                Sample({"class": name}, final_answers.get(answer, {}).get(name, 0))
                for name in class_names
            ],
        )
        for answer in FinalOutcome
    ]


def deadline_families(account: DeadlineAccount, unsent: Mapping[str, int]) -> list[MetricFamily]:
    """Return the counters of requests that ended late, expired or lost their client.

    Args:
        account: The counts of requests.
        unsent: Attempts that were not sent for lack of time, by reason.
    """
    late_help = "Requests served after their class's aim."
    expired_help = "Requests that ended for want of time, by where they were."
    disconnected_help = "Requests whose client left, by where they were."
    cancels_help = "STOPs whose outcome was asked for, by what came of them."
    unsent_help = "Attempts not sent since their time was over."
    families = [
        _labelled_counter("late", late_help, "class", account.late),
        _labelled_counter("expired", expired_help, "place", account.expired),
        _labelled_counter("left", disconnected_help, "state", account.disconnected),
        _labelled_counter("cancels", cancels_help, "outcome", account.cancel_outcomes),
        _labelled_counter("unsent", unsent_help, "why", unsent),
    ]
    wasted_help = "Engines' work for clients who had left, as estimated."
    return [
        *(family for family in families if family.samples),
        counter("left_work_ms", wasted_help, round(account.wasted_work_ms)),
    ]


def _labelled_counter(
    name: str, help_text: str, label: str, counts: Mapping[str, int]
) -> MetricFamily:
    """Return a counter with one label; it has no sample before anything was counted."""
    samples = [Sample({label: key.lower()}, value) for key, value in sorted(counts.items())]
    return MetricFamily(f"svc_{name}_total", COUNTER, help_text, samples)


def render(families: Iterable[MetricFamily]) -> str:
    """Return metric families as text."""
    return "".join(_render_family(family) for family in families)


def _render_family(family: MetricFamily) -> str:
    name = family.name
    lines = [f"# HELP {name} {family.help_text}\n", f"# TYPE {name} {family.kind}\n"]
    lines += [f"{name}{_render_labels(each.labels)} {each.value}\n" for each in family.samples]
    return "".join(lines)


def _render_labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{label}="{_escape(value)}"' for label, value in labels.items()) + "}"


def _escape(label_value: str) -> str:
    return label_value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
