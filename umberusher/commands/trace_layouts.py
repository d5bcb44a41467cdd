"""``trace layouts``: print the columns of all supported layouts."""

from __future__ import annotations

import argparse

from umberusher.commands import tools
from umberusher.traces.layouts import LAYOUTS


def run(_: argparse.Namespace) -> int:
    """Print the layouts; return 0."""
    for layout in LAYOUTS.values():
        tools.out.print(f"{layout.name}: {layout.description}", markup=False)
        for note in layout.notes:
            tools.out.print(f"  {note}", markup=False)
        for table in layout.tables:
            tools.table(
                table.name,
                ["column", "type", "unit", "empty", "from", "to"],
                [
                    [
                        each.name,
                        each.kind,
                        each.unit or "-",
                        "yes" if each.optional else "no",
                        *(
                            ["-", ", ".join(each.known_values)]
                            if each.known_values
                            else [
                                "-" if bound is None else f"{bound:g}"
                                for bound in (each.low, each.high)
                            ]
                        ),
                    ]
                    for each in table.columns
                ]
                + (
                    [[f"1 to {table.repeated_count}", "int", "invocations", "no", "0", "-"]]
                    if table.repeated_count
                    else []
                ),
            )
    return 0
