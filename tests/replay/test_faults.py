"""Guards against fault scripts that are misread, or rejected without their file and field."""

from __future__ import annotations

import pytest

from tests.replay.plans import plan_of
from umberusher.errors import UsageError
from umberusher.replay.faults import Fault, FaultKind, load_faults
from umberusher.replay.options import ReplayOptions
from umberusher.replay.replay import run_replay


def test_fault_script_names_file_and_field_when_invalid(tmp_path):
    path = tmp_path / "f.star"
    path.write_text(
        'faults = [silent("n-1", at=9, until=12), die("n-0", at=3), cut("n-2", at=4, after=9)]'
    )
    assert [(each.kind, each.at, each.back) for each in load_faults(str(path))] == [
        ("die", 3, None),
        ("cut", 4, None),
        ("silent", 9, None),
    ]
    for text, message in (
        ('faults = [silent("n", at=5, until=4)]', r"faults\[0\] \(silent\): until must be later"),
        ('faults = [reset("n", at=-1)]', "at must be a number of at least 0"),
        ("faults = 3", "must be a list"),
        ("faults = [3]", r"faults\[0\] is none of"),
        ("faults = [\n  die()]", "f.star:2"),
    ):
        path.write_text(text)
        with pytest.raises(UsageError, match=message):
            load_faults(str(path))
    with pytest.raises(UsageError, match="no node n-9"):
        run_replay(
            plan_of(1.0), ReplayOptions(engine_count=2, faults=[Fault(FaultKind.RESET, "n-9", 0.1)])
        )
