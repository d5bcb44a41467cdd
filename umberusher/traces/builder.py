"""From rows and a mapping to a plan.

Rows are mapped, cut to the window, thinned by whole jobs, brought to a rate, then stretched. The
plan's header tells each step.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import xxhash

from umberusher.errors import UsageError
from umberusher.traces.azure import AppId, FunctionId, LookupTables, draw_invocations
from umberusher.traces.defects import DefectReason
from umberusher.traces.hashing import hash_text
from umberusher.traces.layouts import AFTER_WINDOW, AZURE, US_PER_SECOND
from umberusher.traces.machines import rebase_machine_events
from umberusher.traces.mapping import MappedRow, Mapping, SkippedRow
from umberusher.traces.ordering import Row
from umberusher.traces.plan import MachineEvent, Plan
from umberusher.traces.reader import Reader
from umberusher.traces.scripts import ScriptError

MAX_REASON_CHARS = 80
MAX_SHOWN_REASONS = 3
READ_CHUNK_BYTES = 1 << 20
OUTSIDE_WINDOW = "outside the window asked for"


@dataclass(slots=True)
class BuildOptions:
    """How a plan is made.

    Attributes:
        window: First and last second of the trace's time, from its first row; None for all.
        rate: Requests a second of the plan; None for those of the trace.
        thin: Fraction of the requests that is kept.
        stretch: Factor on all times.
    """

    seed: int = 1
    window: tuple[float, float] | None = None
    rate: float | None = None
    thin: float = 1.0
    stretch: float = 1.0


class _Request(NamedTuple):
    """A request before its key is numbered by the plan."""

    at_us: int
    query_class: int
    work_ms: float
    memory_mb: float
    group: int
    key_number: int
    job: int


@dataclass(slots=True, frozen=True)
class _Timing:
    """How the trace's times become the plan's.

    Attributes:
        start_us: The plan's start, in the builder's time.
        limit_us: Its length before it is scaled.
        natural_per_s: The rate of the trace.
        squeeze: How much faster the trace passes to reach the rate.
        scale: From the trace's time to the plan's.
    """

    start_us: int
    limit_us: float
    trace_rate_per_s: float
    speedup: float
    scale: float


def parse_window(text: str) -> tuple[float, float]:
    """Return the seconds of ``FROM:TO``; no TO is no end.

    Raises:
        UsageError: The text is no window.
    """
    first, separator, last = text.partition(":")
    try:
        window = (float(first or 0), float(last) if last else math.inf)
    except ValueError:
        window = (1.0, 0.0)
    if not separator or not 0 <= window[0] < window[1]:
        raise UsageError(f"--window: expected FROM:TO in seconds, got {text!r}")
    return window


class Builder:
    """Collects requests; ``plan`` makes the plan of them."""

    def __init__(self, mapping: Mapping, reader: Reader, options: BuildOptions) -> None:
        self.reader = reader
        self.skipped_counts: Counter[str] = Counter()
        # Else rows are mapped and counted only, and memory stays flat.
        self.stores_requests = True
        self._mapping = mapping
        self._options = options
        self._requests: list[_Request] = []
        self._key_numbers: dict[str, int] = {"": 0}
        self._tables = LookupTables()
        # Where windows count from: the first row's time, or 0 where rows stand in no order and the
        # first says nothing.
        self._first_us: int | None = None if reader.layout.ordered else 0
        first_s, end_s = options.window or (0.0, math.inf)
        self._window_us = (first_s * 1e6, end_s * 1e6)

    def read(self, paths: list[str]) -> None:
        """Read and map files; a row on which the mapping fails is rejected with its reason."""
        is_azure = self.reader.layout is AZURE
        for row in self.reader.rows(paths):
            if not is_azure:
                self._add_row(row)
            elif not self._tables.add(row):
                self._add_invocations(row)

    def plan(self, paths: list[str], machines: list[MachineEvent]) -> Plan:
        """Return the plan of what was read.

        Args:
            paths: The files, for the header.
            machines: The fleet's events, in the trace's time.

        Raises:
            UsageError: Nothing is left for the plan.
        """
        options = self._options
        requests = sorted(self._requests, key=lambda request: request.at_us)
        requests = _thin(requests, options.thin)
        if not requests:
            raise UsageError(f"nothing is left for the plan: {self._describe_skipped()}")
        timing = self._timing(requests)
        if options.rate:
            requests = _thin(requests, options.rate / timing.trace_rate_per_s)
        plan = Plan(self._mapping.classes)
        self._fill(plan, requests, timing)
        start_us = (self._first_us or 0) + round(self._window_us[0]) + timing.start_us
        limit_us = timing.limit_us * timing.scale
        plan.machines = rebase_machine_events(machines, start_us, timing.scale, limit_us)
        plan.header = self._header(paths, timing)
        return plan

    def _add_row(self, row: Row) -> None:
        if self._first_us is None and 0 <= row.time_us < AFTER_WINDOW:
            self._first_us = row.time_us
        mapped = self._map(row, {})
        if isinstance(mapped, MappedRow):
            self._add(row.time_us - (self._first_us or 0), mapped)

    def _add_invocations(self, row: Row) -> None:
        function = FunctionId(*row.values[:3])
        memory_mb = self._tables.memory_mb.get(AppId(function.owner, function.app))
        for invocation in draw_invocations(row, self._options.seed, self._window_us):
            duration_ms = self._tables.duration_ms(function, invocation.draw)
            joined = {"duration_ms": duration_ms, "app_memory_mb": memory_mb}
            mapped = self._map(row, joined)
            if mapped is None:
                return
            if isinstance(mapped, MappedRow):
                self._add(invocation.at_us, mapped)

    def _map(self, row: Row, joined: dict[str, Any]) -> MappedRow | SkippedRow | None:
        """Map a row; count what is left out, reject one that fails and return None for it."""
        try:
            mapped = self._mapping.map(row, joined)
        except ScriptError as error:
            tally = self.reader.tally
            tally.kept -= 1  # it was good to the reader
            tally.reject(DefectReason.MAPPING_FAILED, row.file, row.line, str(error))
            return None
        if isinstance(mapped, SkippedRow):
            self.skipped_counts[mapped.reason[:MAX_REASON_CHARS]] += 1
        return mapped

    def _add(self, at_us: int, mapped: MappedRow) -> None:
        first_us, end_us = self._window_us
        if not first_us <= at_us < end_us:
            self.skipped_counts[OUTSIDE_WINDOW] += 1
            return
        if not self.stores_requests:
            return
        key_number = self._key_numbers.setdefault(mapped.key, len(self._key_numbers))
        self._requests.append(
            _Request(
                at_us - round(first_us),
                self._mapping.classes.index(mapped.query_class),
                mapped.work_ms,
                mapped.memory_mb,
                mapped.group,
                key_number,
                hash_text(mapped.job, self._options.seed),
            )
        )

    def _describe_skipped(self) -> str:
        reasons = self.skipped_counts + self.reader.tally.rejected
        shown = [f"{reason} ({count})" for reason, count in reasons.most_common(MAX_SHOWN_REASONS)]
        return ", ".join(shown) or "no rows"

    def _timing(self, requests: list[_Request]) -> _Timing:
        options = self._options
        # Without a window a plan starts with its first request.
        start_us = 0 if options.window else requests[0].at_us
        first_us, end_us = self._window_us
        limit_us = min(end_us - first_us, requests[-1].at_us - start_us + 1)
        trace_rate_per_s = len(requests) / (limit_us / US_PER_SECOND)
        speedup = 1.0
        if options.rate:
            # A trace with too few requests passes faster.
            speedup = max(options.rate / trace_rate_per_s, 1.0)
        return _Timing(start_us, limit_us, trace_rate_per_s, speedup, options.stretch / speedup)

    def _fill(self, plan: Plan, requests: list[_Request], timing: _Timing) -> None:
        """Append the requests; keys are numbered by their first use."""
        texts = list(self._key_numbers)
        plan_key_numbers: dict[int, int] = {0: 0}
        for request in requests:
            key = plan_key_numbers.setdefault(request.key_number, len(plan_key_numbers))
            if key == len(plan.keys):
                plan.keys.append(texts[request.key_number])
            at_us = round((request.at_us - timing.start_us) * timing.scale)
            plan.append(
                at_us,
                request.query_class,
                request.work_ms,
                request.memory_mb,
                request.group,
                key,
                request.job,
            )

    def _header(self, paths: list[str], timing: _Timing) -> dict[str, Any]:
        options = self._options
        script = self._mapping.script
        defects = self.reader.tally.document()
        del defects["examples"]
        return {
            "layout": self.reader.layout.name,
            "seed": options.seed,
            "files": [{"name": Path(path).name, "xxh3": _hash_file(path)} for path in paths],
            "mapping": {
                "name": script.name,
                "xxh3": xxhash.xxh3_64_hexdigest(script.text.encode()),
            },
            "window_s": _window_document(options.window),
            "thin": options.thin,
            "rate": options.rate,
            "stretch": options.stretch,
            "squeezed": timing.speedup,
            "seconds": timing.limit_us * timing.scale / 1e6,
            "natural_per_s": timing.trace_rate_per_s,
            "defects": defects,
            "left_out": dict(sorted(self.skipped_counts.items())),
        }


def _thin(requests: list[_Request], fraction: float) -> list[_Request]:
    """Keep whole jobs, in the order of their hash, until the fraction of requests is met."""
    if fraction >= 1.0:
        return requests
    sizes = Counter(request.job for request in requests)
    remaining = fraction * len(requests)
    kept = set()
    for job in sorted(sizes):
        if remaining < sizes[job] / 2:
            break
        remaining -= sizes[job]
        kept.add(job)
    return [request for request in requests if request.job in kept]


def _window_document(window: tuple[float, float] | None) -> list[float | None] | None:
    if window is None:
        return None
    first_s, end_s = window
    return [first_s, end_s if math.isfinite(end_s) else None]


def _hash_file(path: str) -> str:
    digest = xxhash.xxh3_64()
    with Path(path).open("rb") as source:
        while data := source.read(READ_CHUNK_BYTES):
            digest.update(data)
    return digest.hexdigest()
