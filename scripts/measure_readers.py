"""Compare readers of task_events: this project's reader, the csv module alone, polars. Each runs in its own process.

    .ci-venv/bin/pip install -r requirements-measure.txt
    python scripts/measure_readers.py [ROWS ...]       # 100000 1000000 by default

Prints seconds and peak memory (high-water mark of the process), and the result of each for the file with defects.
"""

from __future__ import annotations

import resource
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEFECTS_FILE = ROOT / "examples" / "traces" / "task_events-defects.csv"
COLUMNS = 13


def read_with_project_reader(path: str) -> str:
    """Read with all checks of the project's reader: types, ranges, order, duplicates."""
    from umberusher.traces.layouts import TASK_EVENTS
    from umberusher.traces.reader import Reader

    reader = Reader(TASK_EVENTS)
    for _ in reader.rows([path]):
        pass
    tally = reader.tally
    return f"{tally.rows} rows, {tally.kept} kept, rejected {dict(tally.rejected)}"


def read_with_csv(path: str) -> str:
    """Split rows with the csv module, without any checks."""
    import csv

    with open(path, encoding="utf-8", errors="replace", newline="") as source:
        return f"{sum(1 for _ in csv.reader(source))} rows"


def read_with_polars(path: str) -> str:
    """Read with polars' streaming engine, with typed columns and invalid values as nulls."""
    import polars as pl

    types = [
        pl.Int64,
        pl.Int64,
        pl.UInt64,
        pl.Int64,
        pl.UInt64,
        pl.Int64,
        pl.String,
        pl.Int64,
        pl.Int64,
        pl.Float64,
        pl.Float64,
        pl.Float64,
        pl.Int64,
    ]
    schema = {f"column_{n + 1}": kind for n, kind in enumerate(types)}
    try:
        frame = pl.scan_csv(
            path, has_header=False, schema=schema, ignore_errors=True, truncate_ragged_lines=True
        )
        kept_rows = (
            frame.filter(
                pl.col("column_6").is_between(0, 8)
                & pl.col("column_1").is_not_null()
                & pl.col("column_3").is_not_null()
            )
            .select(pl.len())
            .collect(engine="streaming")
            .item()
        )
        return f"{kept_rows} kept, no reasons"
    except Exception as error:
        return f"ends: {type(error).__name__}: {str(error).splitlines()[0][:90]}"


READERS = {
    "reader": read_with_project_reader,
    "csv alone": read_with_csv,
    "polars": read_with_polars,
}


def main() -> None:
    """Compare all readers; with the name of a reader, run that one measurement."""
    if sys.argv[1:2] and sys.argv[1] in READERS:
        started_s = time.perf_counter()
        summary = READERS[sys.argv[1]](sys.argv[2])
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(f"{time.perf_counter() - started_s:.2f} s, {peak:.0f} MB: {summary}")
        return
    sys.path.insert(0, str(ROOT))
    from umberusher.traces.patterns import task_events

    with tempfile.TemporaryDirectory() as folder:
        for rows in map(int, sys.argv[1:] or ("100000", "1000000")):
            path = Path(folder) / f"{rows}.csv"
            with open(path, "w", encoding="ascii") as target:
                target.writelines(f"{line}\n" for line in task_events("steady", rows, 150, 1, rows))
            for reader_name in READERS:
                print(
                    f"{rows:>8} {reader_name:10}",
                    _run_in_process(reader_name, str(path)),
                    flush=True,
                )
        for reader_name in READERS:
            print(
                f" defects {reader_name:10}",
                _run_in_process(reader_name, str(DEFECTS_FILE)),
                flush=True,
            )


def _run_in_process(reader_name: str, path: str) -> str:
    process = subprocess.run(
        [sys.executable, __file__, reader_name, path],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT), "POLARS_MAX_THREADS": "1"},
        check=False,
    )
    return process.stdout.strip() or process.stderr.strip().splitlines()[-1]


if __name__ == "__main__":
    main()
