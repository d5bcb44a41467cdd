"""``capacity check``: whether the page is what the committed measurements and the plan give.

A budget that is passed is named always. It is a fault only where the page does not tell it: what
the program cannot do is the roadmap's, what the page does not say is this check's.
"""

from __future__ import annotations

import argparse

from umberusher.capacity.budget_rows import Verdict, exceeded_rows
from umberusher.capacity.page import allowed_quantities, find_faults
from umberusher.commands import capacity


def run(args: argparse.Namespace) -> int:
    """Check the page; return 0 where it is true, 1 with a line for each fault."""
    report = capacity.make_report(args)
    page = capacity.read_page(args.page)
    allowed = allowed_quantities(report.costs.plan, report.costs.program)
    page_faults = find_faults(page, report.tables, report.rows, allowed)
    faults = [*report.faults, *(f"{args.page}: {fault}" for fault in page_faults)]
    for row in exceeded_rows(report.rows):
        print(
            f"passed: {row.name()}: {row.format_estimate(row.current_estimate)}, "
            f"budget {row.format_budget()}; {row.mechanism()}"
        )
    for fault in faults:
        print(f"wrong: {fault}")
    verdicts = [row.verdict for row in report.rows]
    print(
        f"{len(verdicts)} lines, {len(report.costs.measurements)} measurements; "
        f"budgets: {verdicts.count(Verdict.MET)} held, "
        f"{verdicts.count(Verdict.EXCEEDED)} passed, "
        f"{verdicts.count(Verdict.UNKNOWN)} not measured; {len(faults)} faults"
    )
    return 1 if faults else 0
