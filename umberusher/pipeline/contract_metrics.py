"""The metrics of the teams' contracts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from umberusher.admin.metrics import COUNTER, GAUGE, MetricFamily, Sample
from umberusher.teams.admission import TeamAdmission

# Teams beyond this number share one label, which bounds the number of series.
MAX_LABELLED_TEAMS = 64
OTHERS_LABEL = "others"

_COUNTERS = (
    ("taken", "class", "Requests taken within their team's contract."),
    ("borrowed", "class", "Requests taken on lent work."),
    ("refused", "reason", "Requests over their team's contract, by reason."),
    ("retries", "right", "Further attempts, by right."),
    ("work_ms", None, "Milliseconds of one thread used."),
)
"""The counters: the suffix of the name, the label beside the team's, the help text."""

_Key = tuple[str, str]
"""A team's label, and the value of the other label."""


def team_families(
    teams: TeamAdmission, unidentified: Mapping[str, int], now_ms: float
) -> list[MetricFamily]:
    """Return the metrics of all teams.

    Args:
        teams: The state of the teams.
        unidentified: Calls that belong to no team, by reason.
        now_ms: The time now.
    """
    counts: dict[str, Counter[_Key]] = {name: Counter() for name, _, _ in _COUNTERS}
    debts: Counter[str] = Counter()
    for number, (name, usage) in enumerate(teams.usage.items()):
        team = name if number < MAX_LABELLED_TEAMS else OTHERS_LABEL
        _add_counts(counts["taken"], team, usage.own)
        _add_counts(counts["borrowed"], team, usage.borrowed)
        _add_counts(counts["refused"], team, usage.rejected)
        _add_counts(counts["retries"], team, usage.retries)
        if usage.retries_denied:
            counts["retries"][team, "denied"] += usage.retries_denied
        counts["work_ms"][team, ""] += round(usage.work_ms)
        debts[team] += round(teams.debt_ms(now_ms, name))
    families = [
        MetricFamily(f"svc_team_{name}_total", COUNTER, help_text, _samples(counts[name], label))
        for name, label, help_text in _COUNTERS
        if counts[name]
    ]
    if debts:
        samples = [Sample({"team": team}, debt) for team, debt in debts.items()]
        help_text = "Milliseconds of one thread owed."
        families.append(MetricFamily("svc_team_debt_ms", GAUGE, help_text, samples))
    if unidentified:
        samples = [Sample({"why": reason.lower()}, count) for reason, count in unidentified.items()]
        help_text = "Calls of no team, by why."
        families.append(MetricFamily("svc_team_strangers_total", COUNTER, help_text, samples))
    return families


def _add_counts(counts: Counter[_Key], team: str, added: Mapping[str, int]) -> None:
    for key, value in added.items():
        counts[team, key] += value


def _samples(counts: Counter[_Key], label: str | None) -> list[Sample]:
    if label is None:
        return [Sample({"team": team}, value) for (team, _), value in counts.items()]
    return [Sample({"team": team, label: key}, value) for (team, key), value in counts.items()]
