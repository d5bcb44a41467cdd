"""The groups of commands, such as ``trace``, and their options, as plain data.

Imported only for a command of a group, so that ``serve`` does not hold their options in memory.
"""

from __future__ import annotations

from typing import NamedTuple

from umberusher.command_table import LOG_FORMAT_OPTION, Command, option


class CommandGroup(NamedTuple):
    """The commands under one name, such as ``trace``."""

    help_text: str
    commands: dict[str, Command]


LAYOUTS = (
    "google-2011-task-events",
    "google-2011-machine-events",
    "alibaba-2018-batch-task",
    "azure-functions-2019",
)

_TRACE_FILES = option("files", nargs="+", metavar="FILE")
_PLAN = option("plan", metavar="PLAN")
_LAYOUT = option("--layout", required=True, choices=LAYOUTS)
_READER_OPTIONS = (
    option("--strict", action="store_true", help="stop at the first defect"),
    option(
        "--max-rejects",
        type=float,
        default=0.05,
        metavar="SHARE",
        help="exit with status 1 above this fraction of rejected rows (0.05)",
    ),
    option(
        "--reorder-s",
        type=float,
        default=10.0,
        metavar="S",
        help="reorder rows that are at most this many seconds late (10)",
    ),
)
_REPLAY_OPTIONS = (
    option("--clock", choices=["wall", "step"], default="step"),
    option("--seed", type=int, default=1),
    option(
        "--nodes",
        type=int,
        default=7,
        help="number of stand-in engines (7); a plan with machines defines its own",
    ),
    option("--brokers", type=int, default=2),
    option("--faults", metavar="F.star", help="script of faults to inject"),
    option(
        "--retries",
        type=int,
        default=1,
        choices=[0, 1],
        help="retries by a client itself (1)",
    ),
    option(
        "--leave",
        type=float,
        default=0.0,
        metavar="SHARE",
        help="fraction of clients that disconnect early (0)",
    ),
    option(
        "--tight",
        type=float,
        default=0.0,
        metavar="SHARE",
        help="fraction of requests with a deadline of at most 0.4 s (0)",
    ),
    option(
        "--skew",
        type=float,
        default=0.0,
        metavar="MS",
        help="clock skew of the engines, alternately ahead and behind (0)",
    ),
    option("--receipts", action="store_true", help="brokers request a receipt of each request"),
    option(
        "--cancel",
        action="store_true",
        help="engines cancel running queries on STOP, and brokers rely on it",
    ),
    option(
        "--terms",
        choices=("probes", "answers"),
        default="probes",
        help="how engines report load; answers: in their responses, with priorities, costs, "
        "tenants and bad plans, and without probes",
    ),
)

TRACE_COMMANDS: dict[str, Command] = {
    "layouts": Command("trace_layouts", "list the supported layouts with their columns", ()),
    "check": Command(
        "trace_check",
        "read files and report their defects",
        (
            _LAYOUT,
            option("--mapping", metavar="M.star"),
            option("--json", metavar="OUT"),
            *_READER_OPTIONS,
            LOG_FORMAT_OPTION,
            _TRACE_FILES,
        ),
    ),
    "plan": Command(
        "trace_plan",
        "compile files and a mapping into a plan",
        (
            _LAYOUT,
            option("--mapping", required=True, metavar="M.star"),
            option("--seed", type=int, default=1),
            option("-o", "--output", required=True, metavar="PLAN"),
            option(
                "--window", metavar="FROM:TO", help="range of the trace's time to use, in seconds"
            ),
            option(
                "--rate",
                type=float,
                metavar="R",
                help="requests per second that the plan is thinned or stretched to",
            ),
            option(
                "--thin",
                type=float,
                default=1.0,
                metavar="SHARE",
                help="fraction of jobs to keep; complete jobs are selected by hash",
            ),
            option(
                "--stretch", type=float, default=1.0, help="factor by which the time is extended"
            ),
            option(
                "--machines",
                nargs="*",
                default=[],
                metavar="FILE",
                help="google-2011-machine-events files",
            ),
            option(
                "--machine-mapping",
                metavar="M.star",
                help="script with machine(row); without it all machines are of the small kind",
            ),
            *_READER_OPTIONS,
            LOG_FORMAT_OPTION,
            _TRACE_FILES,
        ),
    ),
    "stats": Command(
        "trace_stats",
        "print rates, burstiness and class mix of a plan",
        (_PLAN, option("--plots", metavar="DIR"), option("--json", metavar="OUT")),
    ),
    "replay": Command(
        "trace_replay",
        "replay a plan through real brokers",
        (
            _PLAN,
            *_REPLAY_OPTIONS,
            option("--contract", metavar="TEAMS.star", help="contract that the brokers enforce"),
            option(
                "--team",
                action="append",
                default=[],
                metavar="NAME=PLAN",
                help="plan of another team; the first plan belongs to the team of --first",
            ),
            option(
                "--first",
                default="first",
                metavar="NAME",
                help="the team of the first plan, with --team",
            ),
            option("--json", metavar="OUT"),
            option("--report", metavar="DIR"),
            option(
                "--wire-log", metavar="OUT", help="log of all traffic on the sockets, as JSON lines"
            ),
            option(
                "--deadline-log",
                metavar="OUT",
                help="log of the brokers' events for requests that were late, expired or abandoned",
            ),
            LOG_FORMAT_OPTION,
        ),
    ),
    "compare": Command(
        "trace_compare",
        "replay a plan under several settings, in parallel",
        (
            _PLAN,
            *_REPLAY_OPTIONS,
            option(
                "--vary",
                action="append",
                required=True,
                metavar="NAME=A,B,...",
                help="seed, nodes, brokers, retries, leave or faults; may be repeated",
            ),
            option(
                "--jobs", type=int, default=0, help="number of parallel processes (number of cores)"
            ),
            option("--json", metavar="OUT"),
            LOG_FORMAT_OPTION,
        ),
    ),
    "make": Command(
        "trace_make",
        "write a synthetic trace in the google-2011-task-events layout",
        (
            option(
                "--pattern",
                default="steady",
                choices=["steady", "flash-crowd", "heavy-tail", "diurnal", "node-loss"],
            ),
            option("--seconds", type=float, default=600.0),
            option("--rate", type=float, default=150.0),
            option("--seed", type=int, default=1),
            option("--rows", type=int, default=0, help="stop after this many rows"),
            option("-o", "--output", required=True, metavar="FILE"),
            option("--machines", metavar="FILE", help="also write machine_events for the pattern"),
        ),
    ),
}

DEADLINES_COMMANDS: dict[str, Command] = {
    "report": Command(
        "deadlines_report",
        "show where the time of late, expired and abandoned requests was spent",
        (
            option("log", metavar="LOG", help="a broker's structured log, text or JSON"),
            option("--json", metavar="OUT"),
            option(
                "--plot",
                metavar="OUT",
                help="waterfall of the means and of the slowest requests, SVG",
            ),
        ),
    ),
}
_CONTRACT = option("contract", metavar="TEAMS.star")
_CLASSES = option(
    "--classes", metavar="A,B", help="names of the classes; without it any name is accepted"
)
CONTRACT_COMMANDS: dict[str, Command] = {
    "check": Command(
        "contract_check",
        "read a contract and report all of its errors",
        (_CONTRACT, _CLASSES),
    ),
    "show": Command(
        "contract_show",
        "show what each team is promised on a day",
        (_CONTRACT, option("--day", metavar="DATE"), option("--json", metavar="OUT")),
    ),
    "diff": Command(
        "contract_diff",
        "show what another contract changes",
        (_CONTRACT, option("other", metavar="OTHER.star"), option("--json", metavar="OUT")),
    ),
    "simulate": Command(
        "contract_simulate",
        "replay plans against the budgets alone, without sockets",
        (
            _CONTRACT,
            option("--team", action="append", required=True, metavar="NAME=PLAN"),
            option("--brokers", type=int, default=2),
            option("--json", metavar="OUT"),
        ),
    ),
    "statement": Command(
        "contract_statement",
        "show promised, used and rejected work of a period and its value, from brokers' logs",
        (
            _CONTRACT,
            option("logs", nargs="+", metavar="LOG"),
            option("--json", metavar="OUT"),
            option("--plot", metavar="OUT"),
        ),
    ),
}
_SIZE_OPTIONS = (
    option(
        "--plan",
        default="deploy/capacity/size-to-plan-with.star",
        metavar="SIZE.star",
        help="planned size of the deployment",
    ),
    option("--measurements", default="measurements", metavar="DIR"),
)
CAPACITY_COMMANDS: dict[str, Command] = {
    "show": Command(
        "capacity_show",
        "show what each role needs at the planned size, its budget, and the mechanism behind it",
        (
            *_SIZE_OPTIONS,
            option("--role", metavar="NAME", help="print only the table of this role"),
            option("--write", metavar="PAGE", help="regenerate the tables of that page"),
        ),
    ),
    "check": Command(
        "capacity_check",
        "check the page against the committed measurements; list the exceeded budgets",
        (*_SIZE_OPTIONS, option("--page", default="docs/CAPACITY.md", metavar="PAGE")),
    ),
}
SCALE_COMMANDS: dict[str, Command] = {
    "run": Command(
        "scale_run",
        "run failure scenarios of a fleet with simulated brokers, engines and control machines",
        (
            _PLAN,
            option("--seed", type=int, help="seed in place of the plan's"),
            option("--workers", type=int, help="processes"),
            option("--name", metavar="NAME", help="name of the result (the plan's file name)"),
            option(
                "--only",
                choices=["hollow", "real"],
                help="run only the scenes on the step clock (hollow) or only real brokers (real)",
            ),
            option("--json", metavar="OUT"),
            option("--plot", metavar="OUT", help="SVG"),
            LOG_FORMAT_OPTION,
        ),
    ),
}
COMMAND_GROUPS: dict[str, CommandGroup] = {
    "capacity": CommandGroup("planned size, and what each role needs for it", CAPACITY_COMMANDS),
    "contract": CommandGroup("contracts: teams and what each is promised", CONTRACT_COMMANDS),
    "scale": CommandGroup("simulate the planned size on one machine", SCALE_COMMANDS),
    "trace": CommandGroup("read, compile and replay published cluster traces", TRACE_COMMANDS),
    "deadlines": CommandGroup("show where the time of requests was spent", DEADLINES_COMMANDS),
}
