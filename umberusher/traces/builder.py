"""Builds a plan from the rows of a trace and a mapping.

Rows are mapped, cut to the window, thinned by whole jobs, scaled to a rate, then stretched. The
plan's header records each step.
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
    """How a plan is built.

    Attributes:
        seed: Seed of all hashes and random draws.
        window: First and last second of the trace's time, counted from its first row; None for the
            whole trace.
        rate: Requests per second of the plan; None for the rate of the trace.
        thin: Fraction of the requests that is kept.
        stretch: Factor by which all times are multiplied.
    """

    seed: int = 1
    window: tuple[float, float] | None = None
    rate: float | None = None
    thin: float = 1.0
    stretch: float = 1.0


class _Request(NamedTuple):
    """A request before the plan numbers its key."""

    at_us: int
    query_class: int
    work_ms: float
    memory_mb: float
    group: int
    key_number: int
    job: int


@dataclass(slots=True, frozen=True)
class _Timing:
    """How the trace's times are converted to the plan's.

    Attributes:
        start_us: The plan's start, relative to the start of the window.
        limit_us: The plan's length before it is scaled.
        trace_rate_per_s: The rate of the trace, requests per second.
        speedup: Factor by which the trace is accelerated to reach the requested rate.
        scale: Factor from the trace's time to the plan's.
    """

    start_us: int
    limit_us: float
    trace_rate_per_s: float
    speedup: float
    scale: float


def parse_window(text: str) -> tuple[float, float]:
    """Return the seconds of ``FROM:TO``; without TO the window has no end.

    Raises:
        UsageError: The text is not a valid window.
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
    """Collects requests from a trace's rows; ``plan`` builds the plan from them."""

    def __init__(self, mapping: Mapping, reader: Reader, options: BuildOptions) -> None:
        self.reader = reader
        self.skipped_counts: Counter[str] = Counter()
        # Where False, rows are only mapped and counted: memory does not grow with the trace.
        self.stores_requests = True
        self._mapping = mapping
        self._options = options
        self._requests: list[_Request] = []
        self._key_numbers: dict[str, int] = {"": 0}
        self._tables = LookupTables()
        # The time that windows are relative to: the first row's time, or 0 for layouts without an
        # order, in which the first row need not be the earliest.
        self._first_us: int | None = None if reader.layout.ordered else 0
        first_s, end_s = options.window or (0.0, math.inf)
        self._window_us = (first_s * 1e6, end_s * 1e6)

    def read(self, paths: list[str]) -> None:
        """Read and map files; a row on which the mapping fails is rejected with the reason."""
        is_azure = self.reader.layout is AZURE
        for row in self.reader.rows(paths):
            if not is_azure:
                self._add_row(row)
            elif not self._tables.add(row):
                self._add_invocations(row)

    def plan(self, paths: list[str], machines: list[MachineEvent]) -> Plan:
        """Return the plan of the requests read.

        Args:
            paths: The files that were read; the header lists them.
            machines: The fleet's machine events, in the trace's time.

        Raises:
            UsageError: No request is left for the plan.
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
        self._append_requests(plan, requests, timing)
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
            duration_ms = self._tables.duration_ms(function, invocation.duration_quantile)
            joined = {"duration_ms": duration_ms, "app_memory_mb": memory_mb}
            mapped = self._map(row, joined)
            if mapped is None:
                return
            if isinstance(mapped, MappedRow):
                self._add(invocation.at_us, mapped)

    def _map(self, row: Row, joined: dict[str, Any]) -> MappedRow | SkippedRow | None:
        """Map a row and count it if skipped; reject it and return None if the mapping fails."""
        try:
            mapped = self._mapping.map(row, joined)
        except ScriptError as error:
            tally = self.reader.tally
            tally.kept -= 1  # The reader has counted the row as kept.
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
            # A trace with too few requests per second is accelerated; one with too many is thinned.
            speedup = max(options.rate / trace_rate_per_s, 1.0)
        return _Timing(start_us, limit_us, trace_rate_per_s, speedup, options.stretch / speedup)

    def _append_requests(self, plan: Plan, requests: list[_Request], timing: _Timing) -> None:
        """Append the requests; keys are numbered in the order of their first use."""
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
    """Keep complete jobs, in the order of their hash, until the fraction of requests is reached."""
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
