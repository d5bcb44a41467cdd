"""The figures of a broker as Prometheus text."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

FINALS = ("served", "refused", "failed")


def _escaped(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')


def _family(name: str, kind: str, told: str, samples: Iterable[tuple[str, int]]) -> str:
    head = f"# HELP {name} {told}\n# TYPE {name} {kind}\n"
    return head + "".join(f"{name}{labels} {value}\n" for labels, value in samples)


def text(finals: Mapping[tuple[str, str], int], classes: Iterable[str], attempts: int,
         gauges: Mapping[str, tuple[str, int]]) -> str:
    """All figures: final answers by class, attempts, then each gauge with what it tells."""
    classes = list(classes)
    made = [_family(f"svc_{word}_total", "counter", f"Requests {word}, by class.",
                    [(f'{{class="{_escaped(name)}"}}', finals.get((word, name), 0)) for name in classes])
            for word in FINALS]
    made.append(_family("svc_attempts_total", "counter", "Attempts written whole to engines.", [("", attempts)]))
    made += [_family(f"svc_{name}", "gauge", told, [("", value)]) for name, (told, value) in gauges.items()]
    return "".join(made)
