"""Tests of admission under a contract, of settlement, and of the invariants of both.

They guard against a team that uses more than its contract promises at the cost of others, and
against work that is charged twice or lost, also across a change of contract or a hot restart.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from tests.teams.helpers import RETRY_TERMS, make_admission, make_contract, make_team
from umberusher.teams.admission import MAX_DEBT_S, POOL_DEPTH_S, TeamAdmission
from umberusher.teams.charge import Charge, Rejection, RejectionReason
from umberusher.teams.contract import Team, Terms
from umberusher.teams.handover import TeamHandover


def test_admission_rejects_a_surge_beyond_its_budget_without_affecting_other_teams():
    admission, admitted, now = (
        make_admission(make_team("surge"), make_team("quiet")),
        {"surge": 0, "quiet": 0},
        0.0,
    )
    for step in range(2_000):  # 10 s; surge sends 100/s with a rate of 10, quiet 9/s with 10
        now = step * 5.0
        for name, interval_steps in (("surge", 2), ("quiet", 22)):
            if step % interval_steps == 0:
                outcome = admission.admit(now, name, "lookup", estimate=100.0)
                if isinstance(outcome, Charge):
                    admitted[name] += 1
                    admission.settle(now + 1.0, outcome, 100.0, served=True)
                else:
                    assert outcome.reason is RejectionReason.RATE
    assert admitted["quiet"] == 91 and admitted["surge"] <= 10 + 10 * 10


def test_work_limit_bounds_expensive_requests_within_the_rate():
    team = Team(
        "t", Map({"lookup": Terms(10.0, 20.0, 100.0), "report": Terms(10.0, 20.0, 100.0)}), 1.0, 1.0
    )
    admission, admitted_work_ms, now = make_admission(team), 0.0, 0.0
    for step in range(200):
        now = step * 50.0
        outcome = admission.admit(now, "t", "report", estimate=3_000.0)
        if isinstance(outcome, Charge):
            admitted_work_ms += 3_000.0
            admission.settle(now, outcome, 3_000.0)
        else:
            assert outcome.reason is RejectionReason.WORK
    # The contract promises 2 threads of work.
    assert 10_000.0 <= admitted_work_ms <= team.work_burst + 3_000.0 + 2_000.0 * 10


def test_idle_work_is_lent_and_returned_to_its_owner_within_a_second():
    lender, borrower = (
        make_team("lender", 50.0, 10.0, share=0.5),
        make_team("borrower", 10.0, 10.0, overflow="lend"),
    )
    admission = make_admission(lender, borrower, threads=10.0, slots=1_000.0)
    admitted = {}
    for step in range(6_000):
        now = step * 5.0
        second = int(now // 1000)
        outcome = admission.admit(now, "borrower", "lookup", estimate=100.0)
        if isinstance(outcome, Charge):
            admitted[second, "borrower"] = admitted.get((second, "borrower"), 0) + 1
            admission.settle(now, outcome, 100.0)
        if 10 <= second < 20 and step % 4 == 0:
            outcome = admission.admit(now, "lender", "lookup", estimate=100.0)
            admitted[second, "lender"] = admitted.get((second, "lender"), 0) + isinstance(
                outcome, Charge
            )
            if isinstance(outcome, Charge):
                admission.settle(now, outcome, 100.0)
    assert 90 <= admitted[5, "borrower"] <= 105  # all of the 10 threads
    # The lender gets its own work back immediately.
    assert all(admitted[second, "lender"] >= 48 for second in range(10, 20))
    # It uses 5 of the 10 threads; after its first second the borrower gets the remaining ones.
    assert all(admitted[second, "borrower"] <= 52 for second in range(11, 20))
    assert admitted[25, "borrower"] >= 90


def test_debt_is_bounded_and_counted_and_a_low_estimate_is_corrected():
    admission = make_admission(
        make_team("low", 100.0, 100.0), make_team("fair", 100.0, 100.0), threads=200.0, slots=500.0
    )
    for step in range(400):
        now = step * 20.0
        for name, estimate in (("low", 10.0), ("fair", 100.0)):
            outcome = admission.admit(now, name, "lookup", estimate=estimate)
            if isinstance(outcome, Charge):
                admission.settle(now, outcome, 100.0)
        rate = admission.contract.teams["low"].work_rate
        assert admission.debt_ms(now, "low") <= rate * MAX_DEBT_S + 1e-6
    assert admission.costs.factor("low", "lookup") == pytest.approx(10.0, rel=0.2)
    assert admission.usage_of("low").work_ms == pytest.approx(
        admission.usage_of("fair").work_ms, rel=0.25
    )
    outcome = admission.admit(now, "low", "lookup", estimate=10.0)
    admission.settle(now, outcome, 1e9)
    assert (
        admission.debt_ms(now, "low") == pytest.approx(rate * MAX_DEBT_S)
        and admission.usage_of("low").forgiven_ms > 0
    )


def test_share_of_threads_or_memory_bounds_the_open_requests():
    admission = make_admission(
        make_team("t", 1_000.0, 1_000.0, 1.0, share=0.25),
        make_team("u", 1_000.0, 1_000.0, 1.0, share=0.75),
        threads=40.0,
        slots=40.0,
    )
    others = [admission.admit(0.0, "u", "lookup", estimate=1.0) for _ in range(30)]
    outcomes = [admission.admit(0.0, "t", "lookup", estimate=1.0) for _ in range(12)]
    assert [isinstance(outcome, Charge) for outcome in outcomes] == [True] * 10 + [False] * 2
    assert outcomes[-1].reason is RejectionReason.SHARE
    admission.settle(10.0, outcomes[0], 1.0)
    outcome = admission.admit(10.0, "t", "lookup", estimate=1.0, memory_mb=1_100_000.0)
    assert outcome.reason is RejectionReason.SHARE
    assert isinstance(admission.admit(10.0, "t", "lookup", estimate=1.0), Charge)
    for outcome in others[:20]:  # frees capacity, so that shares are no longer enforced
        admission.settle(20.0, outcome, 1.0)
    assert all(
        isinstance(admission.admit(20.0, "t", "lookup", estimate=1.0), Charge) for _ in range(20)
    )


def test_rejected_requests_get_staggered_retry_times_and_are_admitted_then():
    admission, retry_times_ms = make_admission(make_team("t", 20.0, 5.0, 1.0)), []
    for number in range(30):
        outcome = admission.admit(float(number), "t", "lookup", estimate=1.0)
        if isinstance(outcome, Rejection):
            retry_times_ms.append(number + outcome.retry_after_ms)
        else:
            admission.settle(float(number), outcome, 1.0)
    admitted = 0
    for retry_at_ms in sorted(retry_times_ms):
        outcome = admission.admit(retry_at_ms, "t", "lookup", estimate=1.0)
        if isinstance(outcome, Charge):
            admitted += 1
            admission.settle(retry_at_ms, outcome, 1.0)
    assert (
        len(retry_times_ms) == 25
        and admitted == 25
        and max(retry_times_ms) <= 25 / 20 * 1_000 + 100
    )


def test_backward_clock_step_leaves_budgets_unchanged():
    admission = make_admission(make_team("t"))
    for _ in range(12):
        admission.admit(50_000.0, "t", "lookup")
    full_ms_before = admission.states["t"].work_budget.full_ms
    assert isinstance(admission.admit(1_000.0, "t", "lookup"), Rejection)
    assert (
        admission.states["t"].work_budget.full_ms == full_ms_before and admission.at_ms == 50_000.0
    )


def test_state_is_kept_only_for_the_fifty_active_of_ten_thousand_teams():
    teams = [
        make_team(f"t{n}", 0.1, 1.0, 10.0, share=1e-4, retry_share=1e-4) for n in range(10_000)
    ]
    admission = make_admission(*teams, threads=30.0)
    for step in range(2_000):
        outcome = admission.admit(step * 50.0, f"t{step % 50}", "lookup", estimate=10.0)
        if isinstance(outcome, Charge):
            admission.settle(step * 50.0, outcome, 10.0)
    assert (
        len(admission.states) <= 50
        and len(admission.usage) == 50
        and len(admission.retry_budgets.active) <= 50
    )


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["take", "take", "settle", "change", "hand over"]),
        st.sampled_from(["a", "b", "c"]),
        st.floats(0, 800),
        st.floats(1, 4_000),
    ),
    max_size=80,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(OPERATIONS)
def test_whatever_comes_open_and_used_add_up_and_a_hand_over_keeps_every_budget(operations):
    teams = (
        make_team("a", overflow="lend"),
        make_team("b", 20.0, 5.0, 50.0),
        make_team("c", 1.0, 1.0, 500.0, overflow="lend"),
    )
    admission, now, open_, used = make_admission(*teams), 0.0, [], dict.fromkeys("abc", 0.0)
    halved = make_contract(
        *(make_team(each.name, 5.0, 5.0, 50.0, share=0.1, overflow=each.overflow) for each in teams)
    )
    for what, name, passed, size in operations:
        now += passed
        if what == "take":
            found = admission.admit(now, name, "lookup", estimate=size)
            if isinstance(found, Charge):
                open_.append(found)
            else:
                assert found.retry_after_ms > 0
        elif what == "settle" and open_:
            charge = open_.pop(0)
            before = admission.usage_of(charge.team.name).work_ms
            admission.settle(now, charge, size)
            admission.settle(now, charge, size)  # a second time changes nothing
            used[charge.team.name] += admission.usage_of(charge.team.name).work_ms - before
        elif what == "change":
            admission.change_contract(
                now, halved if admission.contract is not halved else make_contract(*teams)
            )
        elif what == "hand over":
            new = TeamAdmission(
                admission.contract, 1, now + 777.0, RETRY_TERMS
            )  # the clocks need not agree
            state = TeamHandover(admission).export_state(now)
            TeamHandover(new).restore(now + 777.0, state)
            for each in "abc":
                team = admission.contract.teams[each]
                rate, burst = admission.work_limit(team)
                mine, theirs = (
                    h.states[each].work_budget.level(at, rate, burst) if each in h.states else burst
                    for h, at in ((admission, now), (new, now + 777.0))
                )
                assert theirs == pytest.approx(mine, abs=1e-3)
                assert bool(
                    new.retry_budgets.available_right(each, team.retry_share, now + 777.0)
                ) or not admission.retry_budgets.available_right(each, team.retry_share, now)
            assert new.pool.level == pytest.approx(admission.pool.level)
        assert admission.threads == pytest.approx(sum(each.threads for each in open_))
        for each in "abc":
            mine = [charge for charge in open_ if charge.team.name == each]
            state = admission.states.get(each)
            assert (state.open_count if state else 0) == len(mine)
            assert (state.lent_ms if state else 0.0) == pytest.approx(
                sum(c.cost for c in mine if c.lent), abs=1e-6
            )
            assert admission.usage_of(each).work_ms == pytest.approx(used[each])
            assert (
                admission.charged[each] <= used[each] + sum(charge.cost for charge in mine) + 1e-3
            )
            assert (
                admission.debt_ms(now, each)
                <= admission.contract.teams[each].work_rate * MAX_DEBT_S + 1e-6
            )
        assert 0 <= admission.pool.level <= admission.contract.work_rate * POOL_DEPTH_S + 1e-6


def test_admission_of_two_teams_in_every_order_of_operations():
    """Runs all sequences of up to six operations.

    No request that its team's own budget covers is rejected, and nothing is charged twice.
    """
    steps = [("take", "a"), ("take", "b"), ("settle", ""), ("wait", "")]
    trace_count = 0

    def walk(depth: int, trace: tuple) -> None:
        nonlocal trace_count
        admission, now, open_ = (
            make_admission(
                make_team("a", 1.0, 2.0, 100.0, overflow="lend"),
                make_team("b", 1.0, 2.0, 100.0),
                threads=1.0,
                slots=100.0,
            ),
            0.0,
            [],
        )
        for operation, name in trace:
            if operation == "take":
                state = admission.states.get(name)
                rate_budget = state.rate_budgets.get("lookup") if state else None
                team = admission.contract.teams[name]
                covered = (
                    not rate_budget
                    or rate_budget.can_afford(now, 1.0, 0.001, 2.0)
                    or team.overflow == "lend"
                ) and (
                    not state
                    or state.work_budget.can_afford(now, 100.0, *admission.work_limit(team))
                )
                outcome = admission.admit(now, name, "lookup", estimate=100.0)
                assert isinstance(outcome, Charge) or not covered
                assert not isinstance(outcome, Charge) or outcome.lent is not covered
                if isinstance(outcome, Charge):
                    open_.append(outcome)
            elif operation == "settle" and open_:
                admission.settle(now, open_.pop(0), 100.0)
            elif operation == "wait":
                now += 400.0
            assert admission.pool.inflow == pytest.approx(
                admission.pool.level + admission.pool.lent + admission.pool.overflow
            )
        trace_count += 1
        if depth:
            for step in steps:
                walk(depth - 1, (*trace, step))

    walk(6, ())
    assert trace_count == (4**7 - 1) // 3
