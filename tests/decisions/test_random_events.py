"""Random valid event streams, checked against an independent model of the rules."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from tests.decisions.bench import WARM_UP_RULES, make_settings
from umberusher.decisions.actions import FailRequest, RejectRequest, SetTimer, StartAttempt
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.eligibility import Eligibility
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    AttemptProgress,
    EndpointListFailed,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LoadReport,
    ProgressKind,
    RequestArrived,
    Started,
    TimerFired,
)
from umberusher.decisions.settings import DeduplicationScope, Idempotency, Limits, QueryClass, Rules

CLASSES = (
    QueryClass("safe", 500, 4000, 1, Idempotency.IDEMPOTENT, late_weight=0.3),
    QueryClass(
        "keyed",
        900,
        6000,
        3,
        Idempotency.KEYED,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_ms=1500,
    ),
    QueryClass("once", 900, 6000, 3, Idempotency.NON_IDEMPOTENT, threads=2, locks_group=True),
    QueryClass("turn", 900, 6000, 3, Idempotency.IDEMPOTENT, ordered_by_key=True, late_weight=0.5),
    QueryClass("bound", 900, 6000, 3, Idempotency.IDEMPOTENT, zones=("z1",), waits_for_load=True),
)


RULES = Rules(
    drain_grace_ms=0,
    key_cool_down_ms=700,
    retry_budget_floor=2,
    retry_budget_ratio=0.5,
    retry_budget_window_ms=2000,
    **WARM_UP_RULES,
)


LIMITS = Limits(max_attempts=3, cancellation=True, health_checks=True, set_priority=True)


ENGINES = [f"e{number}" for number in range(5)]


class RuleViolationError(AssertionError):
    """An action of the load balancer violates a rule."""


class RuleChecker:
    """Calls the load balancer and checks its actions by the specified rules, without its code."""

    def __init__(self, balancer_type: type[LoadBalancer], hedging: bool, number: int) -> None:
        limits = Limits(**{name: getattr(LIMITS, name) for name in LIMITS.__slots__})
        limits.hedging = hedging
        self.hedging = hedging
        self.now = 5000.0
        self.settings = make_settings(*CLASSES, limits=limits, rules=RULES, brokers=2)
        self.balancer_type = balancer_type
        self.number = number
        self.count = 0
        self.start()

    def start(self) -> None:
        self.balancer = self.balancer_type(self.settings, self.number)
        self.open: dict[str, dict] = {}
        self.in_flight: dict[tuple[str, int], dict] = {}
        self.state: dict[str, EndpointUpdate] = {}
        self.order: list[dict] = []
        self.arrivals: list[float] = []
        self.retries: list[float] = []
        self.timers: list[tuple[float, str]] = []
        self.feed(Started())

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.check_send(action)
            elif isinstance(action, RejectRequest | FailRequest):
                self.check_answer(action)
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))

    def require(self, truth: bool, what: str) -> None:
        if not truth:
            raise RuleViolationError(what)

    def check_send(self, action: StartAttempt) -> None:
        request = self.open.get(action.request)
        self.require(request is not None, "an attempt was sent for a request that has ended")
        query_class, entry = request["query_class"], self.state[action.engine]
        self.require(
            entry.state is EndpointState.UP,
            "an attempt was sent to an engine that is draining or removed",
        )
        running = [a for key, a in self.in_flight.items() if key[0] == action.request]
        self.require(
            len(running) <= (1 if self.hedging else 0), "too many attempts are in flight at once"
        )
        unresolved = request["unresolved"] + running
        if query_class.idempotency is Idempotency.NON_IDEMPOTENT:
            self.require(not unresolved, "a non-idempotent request was repeated")
        if query_class.idempotency is Idempotency.KEYED and unresolved:
            self.require(
                all(a["zone"] == entry.zone for a in unresolved),
                "a keyed request was repeated outside its scope",
            )
            self.require(
                self.now - unresolved[0]["at"] <= query_class.deduplication_window_ms,
                "a keyed request was repeated after its deduplication window",
            )
        self.require(
            query_class.zones is None or entry.zone in query_class.zones,
            "an attempt was sent outside the placement",
        )
        if query_class.ordered_by_key and request["key"]:
            for other in self.order:
                if other is request:
                    break
                if other["key"] == request["key"]:
                    attempt_in_flight = any(key[0] == other["id"] for key in self.in_flight)
                    self.require(
                        other["id"] not in self.open and not attempt_in_flight,
                        "an attempt overtook an earlier request of its key",
                    )
                    self.require(
                        self.now >= other["cool_down_until"],
                        "an attempt was sent before the key has cooled down",
                    )
        if request["sent"]:
            self.retries.append(self.now)
            recent_retries = [t for t in self.retries if t > self.now - 2000]
            recent_arrivals = [t for t in self.arrivals if t > self.now - 2000]
            self.require(
                len(recent_retries) <= 2 + 0.5 * len(recent_arrivals),
                "a retry was sent beyond the retry budget",
            )
        attempt = {"engine": action.engine, "zone": entry.zone, "at": self.now}
        self.in_flight[action.request, request["sent"]] = attempt
        request["sent"] += 1

    def check_answer(self, action: RejectRequest | FailRequest) -> None:
        request = self.open.pop(action.request, None)
        self.require(request is not None, "a second final answer was sent")
        self.require(self.now <= request["deadline"] + 20, "a final answer was sent too late")
        unresolved = request["unresolved"] or any(
            key[0] == action.request for key in self.in_flight
        )
        if isinstance(action, RejectRequest) and unresolved:
            self.require(
                request["query_class"].idempotency is Idempotency.IDEMPOTENT,
                "a request was rejected although it may have run",
            )

    def pass_time(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.now += 5
            due = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            for _, token in due:
                self.feed(TimerFired(token))
            for request in list(self.open.values()):
                self.require(
                    self.now <= request["deadline"] + 20, "no final answer was sent by the deadline"
                )

    def arrive(self, index: int, key: str) -> None:
        query_class, self.count = CLASSES[index], self.count + 1
        name = f"q{self.count}"
        request = {
            "id": name,
            "query_class": query_class,
            "deadline": self.now + query_class.deadline_ms,
            "sent": 0,
            "unresolved": [],
            "key": key if query_class.ordered_by_key else None,
            "cool_down_until": 0.0,
        }
        self.open[name] = request
        self.order.append(request)
        self.arrivals.append(self.now)
        self.feed(
            RequestArrived(
                name,
                query_class.name,
                request["deadline"],
                work_ms=100.0 * index,
                memory_mb=50,
                group=index,
                key=request["key"],
            )
        )

    def end(self, pick: int, outcome: AttemptOutcome) -> None:
        if not self.in_flight:
            return
        key = sorted(self.in_flight)[pick % len(self.in_flight)]
        attempt = self.in_flight.pop(key)
        request = next(item for item in self.order if item["id"] == key[0])
        if not outcome.never_ran and outcome is not AttemptOutcome.SUCCEEDED:
            request["unresolved"].append(attempt)
        if outcome in (AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED):
            request["cool_down_until"] = max(request["cool_down_until"], self.now + 700)
        closed = key[0] not in self.open or outcome is AttemptOutcome.SUCCEEDED
        if outcome is AttemptOutcome.SUCCEEDED:
            self.open.pop(key[0], None)
        event = AttemptEnded(
            key[0],
            key[1],
            attempt["engine"],
            outcome,
            self.now - attempt["at"],
            closed,
            report=LoadReport(utilization=0.5, in_flight=3.0, queued=0.0),
        )
        self.feed(event)
        self.feed(event)

    def entry(self, pick: int, state: EndpointState, cold: bool) -> None:
        name = ENGINES[pick % 5]
        self.state[name] = EndpointUpdate(
            name, state, "k", f"z{pick % 2}", pick % 2, 1.0, self.now if cold else None
        )
        self.feed(EndpointListUpdate((self.state[name],)))


STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.sampled_from("ab")),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(AttemptOutcome))),
    st.tuples(st.just("time"), st.sampled_from([5, 40, 300, 1600])),
    st.tuples(
        st.just("entry"), st.integers(0, 4), st.sampled_from(list(EndpointState)), st.booleans()
    ),
    st.tuples(st.just("odd"), st.integers(0, 4)),
)


# Events without effect, or for unknown requests and engines.
ODD_EVENTS = (
    EndpointListUpdate(()),
    AttemptProgress("q1", 0, "e0", ProgressKind.PROGRESS, 0.01),
    HealthCheckEnded("e9", AttemptOutcome.TIMED_OUT, 250.0),
    EndpointListFailed(),
)
RESTART = len(ODD_EVENTS)


def play_odd_step(checker: RuleChecker, pick: int) -> None:
    if pick != RESTART:
        checker.feed(ODD_EVENTS[pick])
        return
    checker.start()
    for name in ENGINES:
        checker.entry(int(name[1]), EndpointState.UP, cold=False)


def play(balancer_type: type[LoadBalancer], steps: list, hedging: bool, number: int) -> None:
    checker = RuleChecker(balancer_type, hedging, number)
    for pick in range(5):
        checker.entry(pick, EndpointState.UP, cold=False)
    for name, *rest in steps:
        if name == "arrive":
            checker.arrive(*rest)
        elif name == "end":
            checker.end(*rest)
        elif name == "time":
            checker.pass_time(rest[0])
        elif name == "entry":
            checker.entry(*rest)
        else:
            play_odd_step(checker, *rest)
    checker.pass_time(7000)
    assert not checker.open


@seed(20)
@settings(max_examples=150, deadline=None, suppress_health_check=list(HealthCheck), database=None)
@given(st.lists(STEP, min_size=5, max_size=60), st.booleans(), st.integers(0, 99))
def test_balancer_breaks_no_rule_on_any_legal_stream(steps, hedging, number):
    play(LoadBalancer, steps, hedging, number)


class OpenEligibility(Eligibility):
    """Eligibility without rules: any attempt may be sent to any engine."""

    def may_send(self, request, engine, now_ms):
        return True

    def may_attempt(self, request, now_ms):
        return not request.ended

    def may_use(self, request, engine, now_ms):
        return True


class OpenLoadBalancer(LoadBalancer):
    """A load balancer without eligibility rules."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.eligibility.__class__ = OpenEligibility


def test_checker_detects_missing_eligibility_rules():
    steps = [
        ("arrive", 2, "a"),
        ("end", 0, AttemptOutcome.RESET),
        ("entry", 0, EndpointState.REMOVED, False),
    ]
    steps += [("arrive", 4, "a"), ("time", 40)] * 10
    with pytest.raises(RuleViolationError):
        play(OpenLoadBalancer, steps, False, 1)
