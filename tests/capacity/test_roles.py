"""The roles of the project's own capacity page.

Guards against a role without a block on the page, a budget without a mechanism, and a formula that
reads no measurement or returns a wrong unit, which shows only once all measurements exist. A broker
that serves must not load these modules.
"""

from __future__ import annotations

import subprocess
import sys

from tests.capacity.documents import PLAN, ROOT, measurement_document, read_all
from umberusher.capacity.budget_rows import evaluate
from umberusher.capacity.estimates import Basis, Estimate
from umberusher.capacity.measured_costs import EARLIER_VERSION, MeasuredCosts, MeasurementSource
from umberusher.capacity.page import read_blocks
from umberusher.capacity.roles import ROLES, sources
from umberusher.capacity.tables import make_tables
from umberusher.capacity.units import Quantity
from umberusher.commands import capacity


def test_page_has_a_block_for_each_role_and_each_row_names_its_mechanism():
    stored = capacity.load_measurements(str(ROOT / "measurements"))
    plan = capacity.load_plan(str(PLAN))
    assert not stored.faults
    constants = capacity.program_constants(plan)
    costs = MeasuredCosts(plan, constants, stored.measurements, stored.records)
    tables, rows = make_tables(ROLES, costs, EARLIER_VERSION)
    blocks = read_blocks((ROOT / "docs/CAPACITY.md").read_text())
    assert {block.name for block in blocks} == set(tables)
    definitions = [row.definition for row in rows]
    assert all(each.mechanism or each.missing_mechanism for each in definitions)
    assert all(each.missing_mechanism for each in definitions if each.budget)
    assert len({row.name() for row in rows}) == len(rows)
    for role in ROLES:
        resources = {definition.resource for definition in role.rows}
        assert resources <= {"state", "messages", "processor", "memory", "time"}


def test_formulas_return_the_units_of_their_rows_when_all_is_measured():
    class AllScenesMeasured(MeasuredCosts):
        def scene_figure(self, source):
            return Estimate(Quantity.of(1.0, source.unit), Basis.SIMULATED, (source.name,))

    measurement_sources = [
        each for each in vars(sources).values() if isinstance(each, MeasurementSource)
    ]
    assert measurement_sources
    points = ((1, 5.0), (100, 90.0), (32_000, 700.0))
    documents = read_all(
        *(
            measurement_document(each.name, each.raw_unit, each.size_label, points)
            for each in measurement_sources
        )
    )
    plan = capacity.load_plan(str(PLAN))
    costs = AllScenesMeasured(plan, capacity.program_constants(plan), documents)
    rows = evaluate(ROLES, costs, EARLIER_VERSION)
    assert all(row.current_estimate.value is not None for row in rows)
    assert {key for row in rows for key in row.current_estimate.sources} >= {
        each.name for each in measurement_sources
    }


def test_serve_imports_no_module_of_capacity():
    code = (
        "import sys, umberusher.cli, umberusher.commands.serve; "
        "print([name for name in sys.modules if 'capacity' in name or 'starlark' in name])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT
    )
    assert result.stdout.strip() == "[]"
