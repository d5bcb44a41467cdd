"""The configuration of a broker, and the errors of a malformed one."""

from __future__ import annotations

import copy
import json

import pytest

from umberusher import cli, config

CLASSES = [
    {
        "name": "lookup",
        "aim_ms": 500.0,
        "deadline_ms": 2500.0,
        "effect": "safe",
        "points": 1.0,
        "late_worth": 0.1,
    },
    {
        "name": "load",
        "aim_ms": 3000.0,
        "deadline_ms": 25000.0,
        "effect": "unsafe",
        "points": 7.5,
        "keep_order": True,
    },
]
CONF = {
    "name": "n0",
    "listen": "127.0.0.1:5050",
    "seed": "8c1f30d27a5be964",
    "board": "127.0.0.1:8500",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"rev": 0, "notices": []},
    "settings": {
        "grades": CLASSES,
        "machine_types": ["std-8"],
        "domain": {"size_cores": [8], "holds_tables": [False, True]},
        "limits": {
            "max_attempts": 6,
            "probes": True,
            "retry_after": True,
            "max_retry_after_ms": 500.0,
            "multiplex": 32,
            "connect_timeout_ms": 250.0,
            "keepalive_ms": 15000.0,
        },
        "contract": {"drain_grace_ms": 250.0, "settle_after_doubt_ms": 500.0},
    },
}


def test_environment_overrides_the_file(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(CONF))
    found = config.load({"LB_CONFIG": str(path), "LB_NAME": "n7", "LB_LISTEN": "127.0.0.2:81"})
    assert (found.name, found.listen, found.seed) == ("n7", ("127.0.0.2", 81), 0x8C1F30D27A5BE964)
    assert (
        found.settings.classes[1].ordered_by_key
        and found.max_requests_per_connection == 32
        and found.admin is None
    )
    path.write_text(json.dumps(CONF | {"admin": "127.0.0.1:82"}))
    assert config.load({"LB_CONFIG": str(path)}).admin == ("127.0.0.1", 82)
    assert config.load({"LB_CONFIG": str(path), "LB_ADMIN": "127.0.0.1:83"}).admin == (
        "127.0.0.1",
        83,
    )


@pytest.mark.parametrize(
    "path, value",
    [
        (["listen"], "nowhere"),
        (["board"], None),
        (["seed"], "xyz"),
        (["known"], {"notices": [{}]}),
        (["admin"], "nowhere"),
        (["settings"], {}),
        (["settings", "grades"], [{}]),
        (["limits", "sockets"], 3),
        (["limits", "memory_mb"], "many"),
    ],
)
def test_malformed_configuration_is_one_line_and_exit_2(tmp_path, monkeypatch, capsys, path, value):
    conf = copy.deepcopy(CONF)
    inner = conf
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = value
    file = tmp_path / "config.json"
    file.write_text(json.dumps(conf))
    for name in ("LB_NAME", "LB_LISTEN"):
        monkeypatch.delenv(name, raising=False)
    monkeypatch.setenv("LB_CONFIG", str(file))
    assert cli.main(["serve"]) == 2
    output = capsys.readouterr().err
    assert output.startswith("umberusher: configuration: ") and output.count("\n") == 1


SECOND = {  # settings of the second site that differ
    "accounts": [
        {"name": "a", "quota_per_s": 50.0, "share": 0.5},
        {"name": "b", "quota_per_s": 30.0},
    ],
    "domain": {
        "size_cores": [8],
        "holds_tables": [False, True],
        "lanes_count": True,
        "cost_in_answers": True,
        "tells_every_ms": 2000.0,
    },
    "limits": {
        "max_attempts": 4,
        "probes": False,
        "cancel": True,
        "keepalive_ms": 30000.0,
        "multiplex": 100,
    },
    "contract": {
        "tip_multiple": 2.5,
        "fall_ms": 3000.0,
        "repeat_ratio": 0.2,
        "counted_over_ms": 5000.0,
    },
    "over_share_worth": 0.1,
    "fleet_size": 2,
    "a key of tomorrow": {"x": 1},
    "zone": None,
}


@pytest.mark.parametrize(
    "path, value, expected",
    [
        ("limits.cancel", "no", "limits.cancel must be true or false"),
        ("domain.lanes_count", 1, "domain.lanes_count must be"),
        ("limits.max_attempts", 2.5, "limits.max_attempts must be a whole number"),
        ("fleet_size", 0, "fleet_size must be"),
        ("limits.keepalive_ms", float("nan"), "limits.keepalive_ms must be"),
        ("limits.connect_timeout_ms", "250", "limits.connect_timeout_ms must be"),
        ("over_share_worth", 2, "over_share_worth must be"),
        ("contract.repeat_ratio", -0.1, "contract.repeat_ratio must be"),
        ("contract", [1], "contract must be an object"),
        ("accounts", {"a": 1}, "accounts must be a list"),
        ("accounts", [{}], "accounts[0].name is missing"),
        (
            "accounts",
            [{"name": "a", "quota_per_s": "50"}],
            "accounts[0].quota_per_s must be a number",
        ),
        ("accounts", [{"name": "a"}, {"name": "a"}], "names that differ"),
        ("domain.size_cores", 8, "domain.size_cores must be a list"),
        ("machine_types", "std-8", "machine_types must be a list"),
        ("grades", [{"name": "x"}], "grades[0].aim_ms is missing"),
    ],
)
@pytest.mark.parametrize("site", [{}, SECOND])
def test_malformed_setting_is_named(site, path, value, expected):
    """Guards against lax types: "no" was accepted as true and would have enabled priorities and cancels."""
    conf = copy.deepcopy(CONF)
    conf["settings"] |= copy.deepcopy(site)
    assert config.parse(conf).settings.limits.cancellation is bool(site)
    inner, (*names, last) = conf["settings"], path.split(".")
    for name in names:
        inner = inner[name]
    inner[last] = value
    with pytest.raises(config.ConfigError) as raised:
        config.parse(conf)
    assert expected in str(raised.value) and "\n" not in str(raised.value)
