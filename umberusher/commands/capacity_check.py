"""``capacity check``: checks that the page agrees with the committed measurements and the plan.

Exceeded budgets are always printed. An exceeded budget is a fault only if the page does not mention
it: the roadmap tracks what the program cannot do, this check finds what the page leaves out.
"""

from __future__ import annotations

import argparse

from umberusher.capacity.budget_rows import Verdict, exceeded_rows
from umberusher.capacity.page import allowed_quantities, find_faults
from umberusher.commands import capacity


def run(args: argparse.Namespace) -> int:
    """Check the page; return 0 if it is correct, else 1 and print a line for each fault."""
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
