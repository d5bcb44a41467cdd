"""Trace files, mappings and plans, with the examples of each layout.

Guards against rows that are lost without a reason, against files that are truncated, corrupt or out of
order, and against plans that differ for the same input.
"""

from __future__ import annotations

import gzip
import json
from pathlib import Path

import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher import cli
from umberusher.errors import UsageError
from umberusher.traces.builder import Builder, BuildOptions, parse_window
from umberusher.traces.converters import diagnose
from umberusher.traces.defects import DefectReason
from umberusher.traces.layouts import LAYOUTS, MACHINE_EVENTS, TASK_EVENTS
from umberusher.traces.machines import read_machines
from umberusher.traces.mapping import Mapping
from umberusher.traces.patterns import PATTERNS, machine_events, task_events
from umberusher.traces.plan import Plan, PlanError
from umberusher.traces.reader import Reader
from umberusher.traces.scripts import Script, ScriptError
from umberusher.traces.stats import dispersion, plan_statistics

ROOT = Path(__file__).parents[2]
EXAMPLES, MAPPINGS = ROOT / "examples" / "traces", ROOT / "deploy" / "traces"
ROW = "600000000,,6251414911,{},,0,u7,2,0,0.0125,0.00778,0.0004,0"


def read(layout: str, *paths, **options) -> tuple[Reader, list]:
    reader = Reader(LAYOUTS[layout], **options)
    rows = list(reader.rows([str(path) for path in paths]))
    assert (
        reader.tally.balanced
        and reader.tally.kept == len(rows)
        and set(reader.tally.rejected) <= set(DefectReason)
    )
    return reader, rows


def lines(tmp_path, data: bytes | str, name: str = "t.csv"):
    path = tmp_path / name
    path.write_bytes(data.encode() if isinstance(data, str) else data)
    return path


def test_reader_reports_reason_and_line_of_each_defect():
    reader, rows = read("google-2011-task-events", EXAMPLES / "task_events-defects.csv")
    assert reader.tally.rejected == {
        "wrong column count": 1,
        "missing field": 1,
        "not a number": 1,
        "unknown event": 1,
        "out of range": 1,
        "timestamp out of range": 1,
        "duplicate": 2,
        "out of order": 1,
        "unreadable bytes": 1,
        "quote not closed": 1,
    }
    places = {
        reason: [place["line"] for place in found]
        for reason, found in reader.tally.examples.items()
    }
    assert (
        places["wrong column count"] == [4]
        and places["out of order"] == [20]
        and places["quote not closed"] == [24]
    )
    assert reader.tally.reordered == 1 and [row.time_us for row in rows] == sorted(
        row.time_us for row in rows
    )
    # A byte order mark, CR LF and a quoted line feed are accepted.
    assert any(row.values[6] == 'u "seven"\nof two' for row in rows)
    assert rows[-1].line == 25  # The rows after the stray quote are read.


def test_truncated_stream_yields_complete_lines_and_rejects_the_broken_one(tmp_path):
    reader, rows = read("google-2011-task-events", EXAMPLES / "task_events-cut.csv.gz")
    assert reader.tally.rejected == {"stream cut off": 1} and 200 < len(rows) < 400
    data = b"".join(f"{ROW.format(n)}\n".encode() for n in range(500))
    for name, packed in (
        ("g", gzip.compress(data)),
        ("z", zstandard.ZstdCompressor().compress(data)),
    ):
        reader, rows = read("google-2011-task-events", lines(tmp_path, packed, f"{name}-whole"))
        assert len(rows) == 500 and not reader.tally.rejected
        reader, rows = read("google-2011-task-events", lines(tmp_path, packed[:-9], f"{name}-cut"))
        assert reader.tally.rejected["stream cut off"] == 1
        reader, _ = read("google-2011-task-events", lines(tmp_path, packed + packed, f"{name}-two"))
        # The second gzip member or zstd frame is read too.
        assert reader.tally.rejected == {"duplicate": 500}
    corrupt = bytearray(gzip.compress(data))
    corrupt[len(corrupt) // 2] ^= 0xFF
    reader, _ = read("google-2011-task-events", lines(tmp_path, bytes(corrupt), "corrupt"))
    assert sum(reader.tally.rejected.values()) >= 1


def test_rows_are_sorted_across_files_within_the_window_and_rejected_beyond_it(tmp_path):
    rows = [
        ROW.format(n).replace("600000000", str(600_000_000 + at * 1_000_000), 1)
        for n, at in enumerate([0, 5, 3, 30, 22, 8])
    ]
    first = lines(tmp_path, "\n".join(rows[:3]), "a.csv")  # without a line feed at its end
    second = lines(tmp_path, "\n".join(rows[3:]) + "\n", "b.csv")
    reader, found = read("google-2011-task-events", first, second)
    assert [row.time_us // 1_000_000 - 600 for row in found] == [0, 3, 5, 22, 30]
    assert (
        reader.tally.reordered == 2 and reader.tally.examples["out of order"][0]["file"] == "b.csv"
    )
    with pytest.raises(UsageError, match="b.csv:3: out of order"):
        read("google-2011-task-events", first, second, strict=True)


def test_special_times_are_not_subject_to_the_order():
    _, rows = read("google-2011-task-events", EXAMPLES / "task_events-small.csv")
    assert rows[0].time_us == -1 and rows[-1].time_us > 1 << 62 or rows[0].time_us == -1
    assert sorted(row.time_us for row in rows)[-1] == (1 << 63) - 1


def test_ten_thousand_arrivals_in_one_microsecond_are_all_kept(tmp_path):
    path = lines(tmp_path, "".join(f"{ROW.format(n)}\n" for n in range(10_000)))
    _, rows = read("google-2011-task-events", path)
    assert [row.values[3] for row in rows] == list(range(10_000))


def test_reorder_buffer_is_bounded_when_more_rows_fall_into_the_window(tmp_path):
    reader = Reader(TASK_EVENTS)
    reader.reorder_buffer.max_rows = 100
    path = lines(
        tmp_path,
        "".join(
            ROW.format(n).replace("600000000", str(600_000_000 + n), 1) + "\n" for n in range(1_000)
        ),
    )
    queue_lengths = [len(reader.reorder_buffer.queue) for _ in reader.rows([str(path)])]
    assert len(queue_lengths) == 1_000 and max(queue_lengths) <= 101


_FIELD = st.one_of(
    st.text(alphabet='09.,-"eE\r\nüx ', max_size=8),
    st.integers(-3, 12).map(str),
    st.sampled_from(["", "0.5", "600000000", "nan", "inf", "9223372036854775808", "SUBMIT"]),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.sampled_from(sorted(LAYOUTS)),
    st.lists(st.lists(_FIELD, max_size=14).map(",".join), max_size=12),
    st.data(),
)
def test_whatever_a_file_holds_each_row_is_accounted_for(tmp_path_factory, layout, rows, data):
    """The fast way and the slow one agree on what is good: else ``diagnose`` finds no reason."""
    table = LAYOUTS[layout].tables[0]
    if table.header:
        rows = [",".join(column.name for column in table.columns), *rows]
    text = "\n".join(rows).encode()
    at = data.draw(st.integers(0, max(len(text), 1)))
    path = lines(
        tmp_path_factory.mktemp("t"), text[:at] + b"\xff" * data.draw(st.integers(0, 1)) + text[at:]
    )
    try:
        read(layout, path)
    except UsageError as error:
        assert "header" in str(error)


def test_record_with_an_even_number_of_quotes_but_one_open_is_rejected(tmp_path):
    """A quote inside a field opens nothing; the next one, at a field's start, is never closed."""
    path = lines(tmp_path, b'x",y,"z\n')
    reader, rows = read("google-2011-task-events", path)
    assert rows == []
    assert reader.tally.rejected == {"unreadable bytes": 1}


def test_diagnose_returns_the_reason_for_each_kind_of_defect():
    table = LAYOUTS["alibaba-2018-batch-task"].tables[0]
    good = ["M1", "1", "j", "1", "Terminated", "10", "12", "100", "0.5"]
    for at, text, reason in (
        (0, "", "missing field"),
        (1, "x", "not a number"),
        (4, "Gone", "unknown event"),
        (5, "-1", "timestamp out of range"),
        (6, "9", "end before start"),
        (7, "inf", "out of range"),
    ):
        assert diagnose(table, [*good[:at], text, *good[at + 1 :]]).reason == reason


# -- Mappings


def test_mapping_steps_are_limited_and_errors_name_their_location(tmp_path):
    def error_of(text: str, call: str = "") -> str:
        with pytest.raises(ScriptError) as found:
            script = Script.load(str(lines(tmp_path, text, "m.star")))
            script.call(call, {"a": 1})
        return str(found.value)

    assert error_of("def f(:\n").startswith("m.star:1:7:")
    assert error_of("def f(row):\n    return row['zz']\n", "f").startswith("m.star:2:12:")
    assert "reserved keyword `while`" in error_of("while True:\n    pass\n")
    assert "No imports" in error_of("load('x', 'y')\n")
    assert "too many steps" in error_of(
        "def f(row):\n    n = 0\n    for i in range(1000000000):\n        n += i\n    return n\n",
        "f",
    )
    assert error_of("def f(row):\n    return f(row)\n", "f")
    assert error_of("def f(row):\n    return open('x')\n", "f")


def test_mapping_with_an_unknown_class_fails_at_load_or_rejects_its_rows(tmp_path):
    text = "classes = ['lookup', 'batch']\ndef query_class(row):\n    return 'batch'\ndef work_ms(row):\n    return 1\n"
    path = str(lines(tmp_path, text, "m.star"))
    with pytest.raises(ScriptError, match="m.star: classes: the settings lack 'batch'"):
        Mapping.load(path, ["lookup"])
    lines(tmp_path, text.replace("classes = ['lookup', 'batch']\n", ""), "m.star")
    builder = Builder(Mapping.load(path, ["lookup"]), Reader(TASK_EVENTS), BuildOptions())
    builder.read([str(EXAMPLES / "task_events-small.csv")])
    tally = builder.reader.tally
    assert (
        tally.balanced and tally.kept == 0 and tally.rejected["mapping failed"] == tally.rows == 11
    )
    assert "query_class gave 'batch'" in tally.examples["mapping failed"][0]["what"]


# -- Plans


def build_plan(layout: str, mapping: str, *names: str, **options) -> Plan:
    builder = Builder(
        Mapping.load(str(MAPPINGS / mapping), None),
        Reader(LAYOUTS[layout]),
        BuildOptions(**options),
    )
    paths = [str(name if isinstance(name, Path) else EXAMPLES / name) for name in names]
    builder.read(paths)
    return builder.plan(paths, [])


@pytest.mark.parametrize(
    "layout, names",
    [
        ("google-2011-task-events", ["task_events-small.csv"]),
        ("alibaba-2018-batch-task", ["batch_task-small.csv"]),
        (
            "azure-functions-2019",
            ["invocations-small.csv", "memory-small.csv", "durations-small.csv"],
        ),
    ],
)
def test_same_files_mapping_and_seed_give_the_same_plan_bytes(layout, names):
    plan = build_plan(layout, f"{layout}.star", *names, seed=5)
    again = build_plan(layout, f"{layout}.star", *names, seed=5)
    assert plan.dump() == again.dump() and len(plan) > 0
    assert Plan.parse(plan.dump()).dump() == plan.dump()
    assert list(plan.columns["at_us"]) == sorted(plan.columns["at_us"])


def test_azure_counts_become_arrivals_with_joined_durations_and_memory():
    names = ["invocations-small.csv", "durations-small.csv", "memory-small.csv"]
    plan = build_plan("azure-functions-2019", "azure-functions-2019.star", *names, seed=5)
    arrival_times_us = plan.columns["at_us"]
    assert len(plan) == 20 + 40 + 5 + 12 + 3 and arrival_times_us[-1] < 180e6
    assert {round(each) for each in plan.columns["memory_mb"]} == {120, 64}
    known_durations_ms = [
        work_ms
        for work_ms, query_class in zip(
            plan.columns["work_ms"], plan.columns["query_class"], strict=True
        )
        if query_class == 0
    ]
    assert (
        min(known_durations_ms) >= 10
        and max(known_durations_ms) <= 400
        and len(set(known_durations_ms)) > 30
    )
    windowed = build_plan(
        "azure-functions-2019", "azure-functions-2019.star", *names, seed=5, window=(60.0, 120.0)
    )
    assert len(windowed) == 40 + 6 + 3  # The window does not change the arrivals in it.
    other_seed = build_plan("azure-functions-2019", "azure-functions-2019.star", *names, seed=6)
    assert list(other_seed.columns["at_us"]) != list(arrival_times_us)


def test_thinning_keeps_complete_jobs_and_rate_and_stretch_scale_the_plan(tmp_path):
    path = lines(tmp_path, "".join(f"{line}\n" for line in task_events("steady", 60, 50, 3)))
    full_plan = build_plan("google-2011-task-events", "google-2011-task-events.star", path)
    sizes = {}
    for job in full_plan.columns["job"]:
        sizes[job] = sizes.get(job, 0) + 1
    thinned = build_plan("google-2011-task-events", "google-2011-task-events.star", path, thin=0.3)
    assert 0.27 < len(thinned) / len(full_plan) < 0.33
    assert all(
        list(thinned.columns["job"]).count(job) == sizes[job] for job in set(thinned.columns["job"])
    )
    slower = build_plan("google-2011-task-events", "google-2011-task-events.star", path, rate=10.0)
    assert 9 < len(slower) / slower.seconds < 11 and slower.header["rate"] == 10.0
    faster = build_plan("google-2011-task-events", "google-2011-task-events.star", path, rate=100.0)
    assert len(faster) == len(full_plan) and 95 < len(faster) / faster.seconds < 105
    stretched = build_plan(
        "google-2011-task-events",
        "google-2011-task-events.star",
        path,
        stretch=2.0,
        window=(10.0, 20.0),
    )
    assert 19 < stretched.seconds <= 20.1
    with pytest.raises(UsageError, match="nothing is left.*not a SUBMIT"):
        build_plan(
            "google-2011-task-events", "google-2011-task-events.star", path, window=(500.0, 600.0)
        )
    for text in ("5", "a:b", "9:3"):
        with pytest.raises(UsageError, match="--window"):
            parse_window(text)


def test_truncated_or_corrupt_plan_is_rejected(tmp_path):
    data = build_plan(
        "google-2011-task-events", "google-2011-task-events.star", "task_events-small.csv"
    ).dump()
    for corrupt in (data[:-1], data[:40], data[:60] + b"x" + data[61:], b"", b"PK" + data):
        with pytest.raises(PlanError):
            Plan.load(str(lines(tmp_path, corrupt, "p")))


def test_machine_that_is_removed_and_added_again_keeps_its_id():
    reader = Reader(MACHINE_EVENTS)
    found = read_machines(
        [str(EXAMPLES / "machine_events-small.csv")],
        reader,
        Script.load(str(MAPPINGS / "google-2011-machine-events.star")),
    )
    assert [(each.machine, each.event) for each in found] == [
        ("m-5", "ADD"),
        ("m-6", "ADD"),
        ("m-7", "ADD"),
        ("m-6", "REMOVE"),
        ("m-6", "ADD"),
        ("m-7", "UPDATE"),
    ]
    assert [each.kind for each in found[:3]] == [
        "std-8",
        "std-8",
        "std-16",
    ] and reader.tally.rejected


# -- Statistics and commands


def test_index_of_dispersion_distinguishes_bursts_from_random_arrivals(tmp_path):
    assert dispersion([4, 4, 4, 4]) == 0 and dispersion([1]) is None
    found = {}
    for pattern in ("steady", "flash-crowd"):
        path = lines(tmp_path, "".join(f"{line}\n" for line in task_events(pattern, 60, 50, 3)))
        found[pattern] = plan_statistics(
            build_plan("google-2011-task-events", "google-2011-task-events.star", path)
        )
    assert found["steady"]["dispersion"]["1s"] < 2 < found["flash-crowd"]["dispersion"]["1s"]
    assert found["flash-crowd"]["peak_to_mean"] > 2.5


@pytest.mark.parametrize("pattern", PATTERNS)
def test_synthetic_traces_have_no_defects(tmp_path, pattern):
    path = lines(tmp_path, "".join(f"{line}\n" for line in task_events(pattern, 20, 40, 1)))
    reader, rows = read("google-2011-task-events", path)
    assert not reader.tally.rejected and 600 < len(rows) / 2 < 1300
    reader, _ = read(
        "google-2011-machine-events",
        lines(tmp_path, "\n".join(machine_events(pattern, 20, 1)), "m"),
    )
    assert not reader.tally.rejected


def test_trace_check_plan_stats_and_layouts_commands(tmp_path, capsys):
    small, out = str(EXAMPLES / "task_events-small.csv"), tmp_path / "out.json"
    layout = ["--layout", "google-2011-task-events"]
    assert cli.main(["trace", "check", *layout, "--json", str(out), small]) == 0
    assert json.loads(out.read_text()) == {
        "rows": 11,
        "kept": 11,
        "reordered": 0,
        "rejected": {},
        "examples": {},
    }
    defects_file = str(EXAMPLES / "task_events-defects.csv")
    assert cli.main(["trace", "check", *layout, defects_file]) == 1
    assert cli.main(["trace", "check", *layout, "--max-rejects", "0.5", defects_file]) == 0
    assert cli.main(["trace", "check", *layout, "--strict", defects_file]) == 1
    assert "task_events-defects.csv:4: wrong column count" in capsys.readouterr().out
    assert cli.main(["trace", "check", *layout, str(tmp_path / "none.csv")]) == 2
    plan, mapping = str(tmp_path / "p.plan"), str(MAPPINGS / "google-2011-task-events.star")
    assert cli.main(["trace", "plan", *layout, "--mapping", mapping, "-o", plan, small]) == 0
    assert (
        cli.main(["trace", "stats", plan, "--plots", str(tmp_path / "plots"), "--json", str(out)])
        == 0
    )
    assert (
        json.loads(out.read_text())["requests"] == 8 and (tmp_path / "plots" / "rate.svg").exists()
    )
    assert cli.main(["trace", "layouts"]) == 0 and "task_events" in capsys.readouterr().out
