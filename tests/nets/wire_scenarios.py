"""Scenarios of the recordings of the text wire: settings of a site, its load and its faults."""

from __future__ import annotations

from dataclasses import dataclass

CONTRACT = {
    "drain_grace_ms": 250.0,
    "cold_from": 0.35,
    "warm_within_ms": 6_000.0,
    "tip_multiple": 4.0,
    "fall_ms": 1_500.0,
    "settle_after_doubt_ms": 300.0,
    "spare_attempts": 5.0,
    "repeat_ratio": 0.1,
    "counted_over_ms": 5_000.0,
    "ask_within_ms": 10_000.0,
    "grace_to_answer_ms": 20.0,
}
COLD_CONTRACT = {
    name: CONTRACT[name] for name in ("cold_from", "warm_within_ms", "tip_multiple", "fall_ms")
}
PRICES = {"probe": 0.01, "waste": 0.08, "late_fail": 0.04, "cross_zone": 0.009}
LOOKUP = {
    "name": "lookup",
    "aim_ms": 500.0,
    "aim_stretch": 2.0,
    "deadline_ms": 2_500.0,
    "effect": "safe",
    "group": "all",
    "late_worth": 0.1,
    "points": 1.0,
    "stream": False,
    "memory_span_ms": 5_000.0,
}
REPORT = LOOKUP | {
    "name": "report",
    "aim_ms": 1_500.0,
    "aim_stretch": 2.5,
    "deadline_ms": 9_000.0,
    "late_worth": 0.4,
    "points": 10.0,
}
LOAD = REPORT | {
    "name": "load",
    "aim_ms": 2_000.0,
    "effect": "unsafe",
    "keep_order": True,
    "late_worth": 0.6,
    "points": 7.5,
}
DOMAIN = {
    "class_waits": [False, True, False],
    "holds_tables": [False, False, True],
    "lanes_count": True,
    "parallelism": [1, 2, 2],
    "ram_of_kind_mb": [16_384.0, 32_768.0],
    "size_cores": [4, 8],
    "tells_every_ms": 300.0,
}
LIMITS = {
    "max_attempts": 6,
    "second_copies": False,
    "cancel": False,
    "probes": False,
    "retry_after": False,
    "max_retry_after_ms": 500.0,
    "connect_timeout_ms": 250.0,
    "keepalive_ms": 15_000.0,
}


@dataclass
class Scenario:
    """One recording: a site's settings, its load and its faults."""

    name: str
    seed: int
    settings: dict
    gateways: int
    engines: int
    seconds: float
    rate: float  # requests per second of all clients
    work_ms: tuple[float, ...]  # mean work by class
    mix: tuple[float, ...]  # weight of each class among the requests
    start_ms: float = 4_000.5
    burst: float = 3.0
    low_load_from: float = 1.0  # share of the duration after which only a tenth of the load remains
    fault_every_s: float = 1.0
    fault_kinds: tuple[str, ...] | None = None
    max_fault_ms: float = 4_000.0
    outage_at_s: float | None = None
    restart_at_s: float | None = None
    list_failure_share: float = 0.0  # share of subscriptions that fail
    lost_response_share: float = 0.0  # share of attempts without a response
    slow_attempt_share: float = 0.0  # share of attempts that take twelve times as long
    slow_probe_share: float = 0.0  # share of probes whose response is late
    hints: bool = True
    costs_in_answers: bool = False
    order_keys: int = 8
    reports: str = "probe"
    report_fields: tuple[str, ...] = ("concurrent", "depth", "x0")
    load_of_others: float = 0.0


SCENARIOS = [
    Scenario(
        "probes",
        seed=1,
        settings={
            "grades": [LOOKUP, REPORT, LOAD],
            "machine_types": ["std-4", "std-8"],
            "domain": DOMAIN,
            "limits": LIMITS | {"probes": True, "retry_after": True},
            "contract": CONTRACT,
            "prices": PRICES,
            "zone": "room-a",
            "membership_mode": "automatic",
            "counted_by": "request",
            "round_ms": 5.0,
        },
        gateways=2,
        engines=7,
        seconds=40.0,
        rate=45.0,
        work_ms=(60.0, 1_200.0, 700.0),
        mix=(20, 3, 2),
        low_load_from=0.85,
        outage_at_s=24.0,
        restart_at_s=30.0,
        slow_probe_share=0.05,
        load_of_others=1.0,
    ),
    Scenario(
        "cancels",
        seed=2,
        settings={
            "grades": [
                LOOKUP,
                REPORT | {"effect": "keyed", "group": "zone", "memory_span_ms": 2_500.0},
                LOAD | {"effect": "keyed", "group": "cell"},
                LOOKUP | {"name": "update", "effect": "keyed", "group": "all", "late_worth": 0.5},
            ],
            "machine_types": ["std-4", "std-8"],
            "domain": DOMAIN
            | {
                "parallelism": [1, 2, 2, 1],
                "class_waits": [False, True, False, False],
                "holds_tables": [False, False, True, False],
            },
            "limits": LIMITS | {"cancel": True, "second_copies": True, "max_attempts": 3},
            "contract": CONTRACT | {"spare_attempts": 20.0, "repeat_ratio": 0.3},
            "accounts": [
                {"name": "parks", "quota_per_s": 20.0},
                {"name": "water", "quota_per_s": 10.0},
                {"name": "visitors"},
            ],
            "over_share_worth": 0.1,
            "prices": PRICES,
            "zone": "room-b",
            "counted_by": "work",
            "round_ms": 5.0,
        },
        gateways=2,
        engines=8,
        seconds=35.0,
        rate=45.0,
        work_ms=(60.0, 1_000.0, 700.0, 60.0),
        mix=(10, 3, 2, 6),
        slow_attempt_share=0.05,
        costs_in_answers=True,
        reports="answers",
        report_fields=("load_share", "depth", "mean_ms", "new_value"),
        outage_at_s=20.0,
    ),
    Scenario(
        "subscriptions",
        seed=3,
        settings={
            "grades": [
                LOOKUP | {"stays_in": ["room-a"], "machine_types_allowed": ["std-4"]},
                REPORT | {"stream": True},
                LOAD | {"keep_order": False, "stays_in": ["room-b", "room-a"]},
            ],
            "machine_types": ["std-4", "std-8"],
            "domain": DOMAIN | {"tells_every_ms": 0.0, "lanes_count": False},
            "limits": LIMITS | {"probes": True, "keepalive_ms": 3_000.0, "retry_after": True},
            "contract": COLD_CONTRACT | {"drain_grace_ms": 100.0},
            "zone": "room-a",
            "membership_mode": "subscribe",
            "round_ms": 2.0,
        },
        gateways=4,
        engines=30,
        seconds=30.0,
        rate=60.0,
        work_ms=(60.0, 1_000.0, 700.0),
        mix=(20, 3, 1),
        burst=8.0,
        fault_every_s=0.3,
        list_failure_share=0.4,
        slow_probe_share=0.8,
        hints=False,
        report_fields=("concurrent", "new_value"),
        restart_at_s=18.0,
    ),
    Scenario(
        "silence",
        seed=4,
        settings={
            "grades": [LOOKUP, REPORT, LOAD | {"deadline_ms": 5_000.0}],
            "machine_types": ["std-4", "std-8"],
            "domain": DOMAIN,
            "limits": LIMITS | {"probes": True, "max_attempts": 4, "cancel": True},
            "contract": CONTRACT | {"counted_over_ms": 2_000.0, "spare_attempts": 2.0},
            "round_ms": 10.0,
        },
        gateways=2,
        engines=5,
        seconds=45.0,
        rate=30.0,
        work_ms=(60.0, 900.0, 300.0),
        mix=(10, 2, 5),
        fault_kinds=("hung", "erring", "late_probes", "restart", "down", "resetting"),
        lost_response_share=0.08,
        order_keys=4,
        load_of_others=3.0,
    ),
    Scenario(
        "bare",
        seed=5,
        settings={
            "grades": [
                {
                    "name": "short",
                    "aim_ms": 300,
                    "deadline_ms": 1_500,
                    "points": 1,
                    "effect": "safe",
                },
                {
                    "name": "once",
                    "aim_ms": 300,
                    "deadline_ms": 1_500,
                    "points": 1,
                    "effect": "unsafe",
                },
            ],
            "limits": {"max_attempts": 3},
        },
        gateways=1,
        engines=4,
        seconds=20.0,
        rate=40.0,
        work_ms=(80.0, 80.0),
        mix=(3, 1),
        hints=False,
        reports="none",
    ),
    Scenario(
        "small-share",
        seed=6,
        settings={
            "grades": [
                LOOKUP | {"effect": "keyed", "memory_span_ms": 60.0},
                REPORT | {"stays_in": ["room-b"]},
                LOAD,
            ],
            "machine_types": ["std-4", "std-8"],
            "domain": DOMAIN | {"tells_every_ms": 100.0},
            "limits": LIMITS | {"cancel": True, "retry_after": True},
            "contract": CONTRACT,
            "fleet_size": 40,
            "round_ms": 5.0,
        },
        gateways=1,
        engines=2,
        seconds=60.0,
        rate=12.0,
        work_ms=(60.0, 500.0, 500.0),
        mix=(10, 3, 2),
        fault_every_s=2.0,
        reports="answers",
        report_fields=("mean_ms", "new_value"),
    ),
    Scenario(
        "crowded",
        seed=7,
        settings={
            "grades": [LOOKUP | {"late_worth": 0.16}, REPORT, LOAD | {"deadline_ms": 9_000.0}],
            "machine_types": ["std-4", "std-8"],
            "domain": DOMAIN,
            "limits": LIMITS | {"probes": True, "cancel": True, "retry_after": True},
            "contract": CONTRACT | {"spare_attempts": 40.0},
            "round_ms": 5.0,
        },
        gateways=3,
        engines=5,
        seconds=24.0,
        rate=75.0,
        work_ms=(120.0, 1_300.0, 700.0),
        mix=(14, 3, 2),
        burst=2.0,
        low_load_from=0.9,
        fault_every_s=0.8,
        fault_kinds=("hung", "slow", "restart", "down", "hung"),
        lost_response_share=0.02,
        slow_attempt_share=0.08,
        slow_probe_share=0.3,
        load_of_others=2.0,
        reports="answers",
        report_fields=("concurrent", "depth"),
        order_keys=5,
    ),
    Scenario(
        "starved",
        seed=8,
        settings={
            "grades": [LOOKUP | {"late_worth": 0.4}, REPORT | {"aim_ms": 300.0}, LOAD],
            "machine_types": ["std-4", "std-8"],
            "domain": DOMAIN,
            "limits": LIMITS | {"max_attempts": 8},
            "contract": CONTRACT | {"spare_attempts": 60.0},
            "round_ms": 5.0,
        },
        gateways=4,
        engines=4,
        seconds=24.0,
        rate=40.0,
        work_ms=(400.0, 2_500.0, 700.0),
        mix=(8, 3, 1),
        low_load_from=0.8,
        fault_every_s=6.0,
        max_fault_ms=14_000.0,
        fault_kinds=("down", "slow"),
        load_of_others=6.0,
        reports="answers",
        report_fields=("concurrent", "depth"),
    ),
]
