"""The metrics compared with what the peers observed, and their text format."""

from __future__ import annotations

import struct

from prometheus_client.parser import text_string_to_metric_families

from tests.admin.calls import open_admin, read_metrics
from tests.thrift_messages import execute
from umberusher.admin import metrics
from umberusher.deadlines.account import DeadlineAccount


def test_metrics_match_what_peers_observed(rig):
    rig = rig()
    open_admin(rig)
    assert set(read_metrics(rig).values()) == {0.0, 1.0}
    assert (
        read_metrics(rig)["svc_engines_known"] == 1
        and read_metrics(rig)["svc_served_totallookup"] == 0
    )
    client = rig.client()
    rid = rig.send_request(client)
    assert read_metrics(rig)["svc_in_flight"] == 1
    engine = rig.accept("s-0")
    rig.expect(engine, b"park_1.sites\r\n")
    assert read_metrics(rig)["svc_attempts_total"] == 1
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    rig.read_answer(client)
    rig.broker.admission.memory_pressure = True  # rejected before the load balancer receives it
    client.sock.send(
        execute(7, {"method": "load", "rid": f"{7:016x}", "budget": "900", "obj": "k"}, b"select 1")
    )
    rig.read_answer(client)
    client.sock.send(
        execute(8, {"method": "load", "rid": "none", "budget": "900", "obj": "k"}, b"select 1")
    )
    rig.read_answer(client)
    found = read_metrics(rig)
    assert (
        found["svc_served_totallookup"],
        found["svc_refused_totalload"],
        found["svc_failed_totalload"],
    ) == (1, 1, 1)
    assert found["svc_in_flight"] == 0 and found["svc_attempts_total"] == 1


def test_in_flight_decreases_with_the_interrupt_while_the_request_is_kept(rig):
    rig = rig()
    client, rid, _ = rig.start_request()
    interrupt = struct.pack(">Ii9siBhiB", 0x80010004, 9, b"interrupt", 2, 8, 1, 1, 0)
    client.sock.send(struct.pack(">i", len(interrupt)) + interrupt)
    rig.until(lambda: not rig.broker.registry.in_flight)


def test_labels_are_escaped_and_every_class_starts_at_zero():
    name = 'a"b\\c\nd'
    account = DeadlineAccount(lambda: 0.0)
    account.disconnected["node"] += 1
    families = [
        *metrics.final_answer_families({}, [name]),
        metrics.counter("attempts", "Attempts written whole to engines.", 0),
        *metrics.deadline_families(account, {"NO_WAY": 2}),
    ]
    made = metrics.render(families)
    families = list(text_string_to_metric_families(made))
    assert [f.samples[0].labels["class"] for f in families if "class" in f.samples[0].labels] == [
        name
    ] * 3
    assert all(f.type == "counter" and f.documentation for f in families)
    assert {f.name: f.samples[0].value for f in families if f.samples[0].value} == {
        "svc_left": 1,
        "svc_unsent": 2,
    }
