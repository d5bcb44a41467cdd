"""Loads a contract from its file.

The file is a Starlark script that sets ``capacity`` and ``teams``, and optionally ``strangers`` and
``holidays``. ``strangers`` is the team of calls that name no team; without it they are refused::

    capacity = fleet(threads = 48, memory_mb = 98304)   # the capacity that may be promised
    teams = [
        team("parks", share = 0.5, ration = 0.5, overflow = "lend", terms = [
            terms("lookup", rate = 60, burst = 120, work_ms = 60),
            terms("report", rate = 2, burst = 4, work_ms = 2500, worth = 10)]),
        team("water", share = 0.3, ration = 0.3, ports = [5051],
             terms = [terms("lookup", rate = 30, burst = 60, work_ms = 60)]),
    ]
    strangers = "parks"
    holidays = [window("easter", team = "parks", first = "2026-04-03", last = "2026-04-06",
                       terms = [terms("lookup", rate = 90, burst = 240, work_ms = 60)])]
"""

from __future__ import annotations

from umberusher.teams.contract import Contract, ContractError
from umberusher.teams.contract_parser import parse_contract
from umberusher.traces.scripts import Script, ScriptError

# The functions that a contract's script may call. Their names and parameters are part of the format
# of the file.
PRELUDE = """
def fleet(threads, memory_mb, slots = None):
    return {"is": "fleet", "threads": threads, "memory_mb": memory_mb, "slots": slots}
def terms(name, rate, burst, work_ms, worth = 1.0, memory_mb = 0.0):
    return {"is": "terms", "class": name, "rate": rate, "burst": burst, "work_ms": work_ms, "worth":
    worth,
            "memory_mb": memory_mb}
def team(name, share, ration, terms, overflow = "refuse", ports = None, names = None, proof =
False):
    return {"is": "team", "name": name, "share": share, "ration": ration, "terms": terms,
    "overflow": overflow,
            "ports": ports, "names": names, "proof": proof}
def window(name, team, first, last, terms = None, share = None):
    return {"is": "window", "name": name, "team": team, "first": first, "last": last, "terms":
    terms, "share": share}
"""
VALUES = ("capacity", "teams", "strangers", "holidays")
OPTIONAL_VALUES = 'strangers = ""\nholidays = []\n'


def load_contract(path: str, classes: frozenset[str] | None = None) -> Contract:
    """Return the contract that a file describes.

    Args:
        path: The path of the file.
        classes: The classes of the settings; None if names of classes are not checked.

    Raises:
        ContractError: The file is invalid; the message names file and line.
    """
    try:
        script = Script.load(path, prelude=PRELUDE + OPTIONAL_VALUES, values=VALUES)
    except ScriptError as error:
        raise ContractError(str(error)) from error
    values = {name: script.get(name) for name in VALUES}
    return parse_contract(script.name, script.text, values, classes)
