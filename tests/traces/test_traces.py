"""Trace files: every row is kept or has its reason; mappings and plans from the layouts' own examples."""

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


def read(layout: str, *paths, **more) -> tuple[Reader, list]:
    reader = Reader(LAYOUTS[layout], **more)
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


def test_each_defect_has_its_reason_and_its_line():
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
    assert any(
        row.values[6] == 'u "seven"\nof two' for row in rows
    )  # BOM, CR LF and a quoted line feed passed
    assert rows[-1].line == 25  # what stands behind the stray quote is read


def test_a_cut_stream_gives_what_lies_before_the_cut_and_rejects_the_line_it_went_through(tmp_path):
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
        assert reader.tally.rejected == {"duplicate": 500}  # a second member is read too
    spoilt = bytearray(gzip.compress(data))
    spoilt[len(spoilt) // 2] ^= 0xFF
    reader, _ = read("google-2011-task-events", lines(tmp_path, bytes(spoilt), "spoilt"))
    assert sum(reader.tally.rejected.values()) >= 1


def test_order_is_kept_across_files_within_the_window_and_refused_beyond(tmp_path):
    rows = [
        ROW.format(n).replace("600000000", str(600_000_000 + at * 1_000_000), 1)
        for n, at in enumerate([0, 5, 3, 30, 22, 8])
    ]
    first = lines(tmp_path, "\n".join(rows[:3]), "a.csv")  # no line feed at its end
    second = lines(tmp_path, "\n".join(rows[3:]) + "\n", "b.csv")
    reader, found = read("google-2011-task-events", first, second)
    assert [row.time_us // 1_000_000 - 600 for row in found] == [0, 3, 5, 22, 30]
    assert (
        reader.tally.reordered == 2 and reader.tally.examples["out of order"][0]["file"] == "b.csv"
    )
    with pytest.raises(UsageError, match="b.csv:3: out of order"):
        read("google-2011-task-events", first, second, strict=True)


def test_the_special_times_stand_outside_the_order_and_a_time_that_overflows_is_a_defect():
    _, rows = read("google-2011-task-events", EXAMPLES / "task_events-small.csv")
    assert rows[0].time_us == -1 and rows[-1].time_us > 1 << 62 or rows[0].time_us == -1
    assert sorted(row.time_us for row in rows)[-1] == (1 << 63) - 1


def test_ten_thousand_arrivals_in_one_microsecond_all_stay(tmp_path):
    path = lines(tmp_path, "".join(f"{ROW.format(n)}\n" for n in range(10_000)))
    _, rows = read("google-2011-task-events", path)
    assert [row.values[3] for row in rows] == list(range(10_000))


def test_memory_is_bounded_where_a_file_puts_more_into_the_window_than_is_held(tmp_path):
    reader = Reader(TASK_EVENTS)
    reader.reorder_buffer.max_rows = 100
    path = lines(
        tmp_path,
        "".join(
            ROW.format(n).replace("600000000", str(600_000_000 + n), 1) + "\n" for n in range(1_000)
        ),
    )
    held = [len(reader.reorder_buffer.queue) for _ in reader.rows([str(path)])]
    assert len(held) == 1_000 and max(held) <= 101


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


def test_a_record_whose_quotes_are_even_but_leave_one_open_is_rejected(tmp_path):
    """A quote inside a field opens nothing; the next one, at a field's start, is never closed."""
    path = lines(tmp_path, b'x",y,"z\n')
    reader, rows = read("google-2011-task-events", path)
    assert rows == []
    assert reader.tally.rejected == {"unreadable bytes": 1}


def test_a_row_that_its_converter_refuses_has_a_reason_for_each_kind():
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


def test_a_mapping_is_bounded_and_its_errors_name_their_place(tmp_path):
    def failing(text: str, call: str = "") -> str:
        with pytest.raises(ScriptError) as found:
            script = Script.load(str(lines(tmp_path, text, "m.star")))
            script.call(call, {"a": 1})
        return str(found.value)

    assert failing("def f(:\n").startswith("m.star:1:7:")
    assert failing("def f(row):\n    return row['zz']\n", "f").startswith("m.star:2:12:")
    assert "reserved keyword `while`" in failing("while True:\n    pass\n")
    assert "No imports" in failing("load('x', 'y')\n")
    assert "too many steps" in failing(
        "def f(row):\n    n = 0\n    for i in range(1000000000):\n        n += i\n    return n\n",
        "f",
    )
    assert failing("def f(row):\n    return f(row)\n", "f")
    assert failing("def f(row):\n    return open('x')\n", "f")


def test_a_mapping_that_names_an_unknown_class_or_fails_on_a_row(tmp_path):
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


def plan_of(layout: str, mapping: str, *names: str, **options) -> Plan:
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
def test_the_same_files_mapping_and_seed_give_the_same_bytes(layout, names):
    plan = plan_of(layout, f"{layout}.star", *names, seed=5)
    again = plan_of(layout, f"{layout}.star", *names, seed=5)
    assert plan.dump() == again.dump() and len(plan) > 0
    assert Plan.parse(plan.dump()).dump() == plan.dump()
    assert list(plan.columns["at_us"]) == sorted(plan.columns["at_us"])


def test_azure_counts_become_arrivals_within_their_minute_joined_with_durations_and_memory():
    names = ["invocations-small.csv", "durations-small.csv", "memory-small.csv"]
    plan = plan_of("azure-functions-2019", "azure-functions-2019.star", *names, seed=5)
    begin = plan.columns["at_us"]
    assert len(plan) == 20 + 40 + 5 + 12 + 3 and begin[-1] < 180e6
    assert {round(each) for each in plan.columns["memory_mb"]} == {120, 64}
    known = [
        w
        for w, cls in zip(plan.columns["work_ms"], plan.columns["query_class"], strict=True)
        if cls == 0
    ]
    assert min(known) >= 10 and max(known) <= 400 and len(set(known)) > 30
    part = plan_of(
        "azure-functions-2019", "azure-functions-2019.star", *names, seed=5, window=(60.0, 120.0)
    )
    assert len(part) == 40 + 6 + 3  # the same arrivals, whatever is cut out
    other = plan_of("azure-functions-2019", "azure-functions-2019.star", *names, seed=6)
    assert list(other.columns["at_us"]) != list(begin)


def test_thinning_takes_whole_jobs_and_rate_and_stretch_are_told(tmp_path):
    path = lines(tmp_path, "".join(f"{line}\n" for line in task_events("steady", 60, 50, 3)))
    whole = plan_of("google-2011-task-events", "google-2011-task-events.star", path)
    sizes = {}
    for job in whole.columns["job"]:
        sizes[job] = sizes.get(job, 0) + 1
    thin = plan_of("google-2011-task-events", "google-2011-task-events.star", path, thin=0.3)
    assert 0.27 < len(thin) / len(whole) < 0.33
    assert all(
        list(thin.columns["job"]).count(job) == sizes[job] for job in set(thin.columns["job"])
    )
    slow = plan_of("google-2011-task-events", "google-2011-task-events.star", path, rate=10.0)
    assert 9 < len(slow) / slow.seconds < 11 and slow.header["rate"] == 10.0
    fast = plan_of("google-2011-task-events", "google-2011-task-events.star", path, rate=100.0)
    assert len(fast) == len(whole) and 95 < len(fast) / fast.seconds < 105
    wide = plan_of(
        "google-2011-task-events",
        "google-2011-task-events.star",
        path,
        stretch=2.0,
        window=(10.0, 20.0),
    )
    assert 19 < wide.seconds <= 20.1
    with pytest.raises(UsageError, match="nothing is left.*not a SUBMIT"):
        plan_of(
            "google-2011-task-events", "google-2011-task-events.star", path, window=(500.0, 600.0)
        )
    for text in ("5", "a:b", "9:3"):
        with pytest.raises(UsageError, match="--window"):
            parse_window(text)


def test_a_cut_or_spoilt_plan_is_refused(tmp_path):
    data = plan_of(
        "google-2011-task-events", "google-2011-task-events.star", "task_events-small.csv"
    ).dump()
    for bad in (data[:-1], data[:40], data[:60] + b"x" + data[61:], b"", b"PK" + data):
        with pytest.raises(PlanError):
            Plan.load(str(lines(tmp_path, bad, "p")))


def test_a_machine_that_goes_and_comes_again_keeps_its_id():
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


# -- Figures and commands


def test_the_index_of_dispersion_tells_bursts_from_chance(tmp_path):
    assert dispersion([4, 4, 4, 4]) == 0 and dispersion([1]) is None
    found = {}
    for pattern in ("steady", "flash-crowd"):
        path = lines(tmp_path, "".join(f"{line}\n" for line in task_events(pattern, 60, 50, 3)))
        found[pattern] = plan_statistics(
            plan_of("google-2011-task-events", "google-2011-task-events.star", path)
        )
    assert found["steady"]["dispersion"]["1s"] < 2 < found["flash-crowd"]["dispersion"]["1s"]
    assert found["flash-crowd"]["peak_to_mean"] > 2.5


@pytest.mark.parametrize("pattern", PATTERNS)
def test_made_up_traces_are_free_of_defects(tmp_path, pattern):
    path = lines(tmp_path, "".join(f"{line}\n" for line in task_events(pattern, 20, 40, 1)))
    reader, rows = read("google-2011-task-events", path)
    assert not reader.tally.rejected and 600 < len(rows) / 2 < 1300
    reader, _ = read(
        "google-2011-machine-events",
        lines(tmp_path, "\n".join(machine_events(pattern, 20, 1)), "m"),
    )
    assert not reader.tally.rejected


def test_check_plan_and_stats_from_the_command_line(tmp_path, capsys):
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
    bad = str(EXAMPLES / "task_events-defects.csv")
    assert cli.main(["trace", "check", *layout, bad]) == 1
    assert cli.main(["trace", "check", *layout, "--max-rejects", "0.5", bad]) == 0
    assert cli.main(["trace", "check", *layout, "--strict", bad]) == 1
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
