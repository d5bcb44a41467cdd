"""Builders of settings and a single broker for tests of the decisions, with a simulated clock."""

from __future__ import annotations

from umberusher.decisions.actions import Action, StartAttempt
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    Event,
    RequestArrived,
    Started,
    TimerFired,
)
from umberusher.decisions.settings import (
    DeduplicationScope,
    EngineKind,
    Idempotency,
    Limits,
    QueryClass,
    Settings,
)

LOOKUP = QueryClass(
    "short",
    latency_objective_ms=1000,
    deadline_ms=6000,
    priority_weight=1,
    idempotency=Idempotency.IDEMPOTENT,
)
UNSAFE = QueryClass("load", 1000, 6000, 5, Idempotency.NON_IDEMPOTENT)
ORDERED = QueryClass(
    "o", 4000, 9000, 5, Idempotency.IDEMPOTENT, ordered_by_key=True, late_weight=1.0
)
WARM_UP_RULES = dict(
    warm_up_floor=0.4, warm_up_ms=10_000, overload_multiple=2, overload_window_ms=1000
)


def keyed(scope: DeduplicationScope) -> QueryClass:
    return QueryClass(
        "keyed",
        1000,
        9000,
        5,
        Idempotency.KEYED,
        deduplication_scope=scope,
        deduplication_window_ms=2000,
        late_weight=0.5,
    )


def make_settings(*classes: QueryClass, **kwargs) -> Settings:
    limits = kwargs.pop("limits", Limits(max_attempts=4, set_priority=True))
    return Settings(
        classes=classes or (LOOKUP,),
        engine_kinds=(EngineKind("k", 8),),
        limits=limits,
        broker_count=kwargs.pop("brokers", 1),
        **kwargs,
    )


class Bench:
    """One load balancer with a simulated clock and a log of its actions."""

    def __init__(self, settings: Settings | None = None, engines: int = 3, seed: int = 1) -> None:
        self.balancer = LoadBalancer(settings or make_settings(), seed)
        self.now = 1000.0
        self.log: list[Action] = []
        self.count = 0
        self.sent: dict[str, int] = {}
        self.feed(Started())
        if engines:
            self.list_engines(*[f"e{number}" for number in range(engines)])

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        self.log.extend(actions)
        for action in actions:
            if isinstance(action, StartAttempt):
                self.sent[action.request] = self.sent.get(action.request, 0) + 1
        return actions

    def entry(self, engine: str, state=EndpointState.UP, **kwargs) -> EndpointUpdate:
        return EndpointUpdate(
            engine,
            state,
            kind=kwargs.pop("kind", "k"),
            zone=kwargs.pop("zone", "z"),
            cell=kwargs.pop("cell", 0),
            **kwargs,
        )

    def list_engines(self, *engines: str, **kwargs) -> list[Action]:
        return self.feed(
            EndpointListUpdate(tuple(self.entry(e, **kwargs) for e in engines), complete=True)
        )

    def change(self, engine: str, state=EndpointState.UP, **kwargs) -> list[Action]:
        return self.feed(EndpointListUpdate((self.entry(engine, state, **kwargs),)))

    def arrive(
        self, query_class: str = "short", timeout_ms: float = 6000, **kwargs
    ) -> tuple[str, list[Action]]:
        self.count += 1
        name = f"r{self.count}"
        return name, self.feed(RequestArrived(name, query_class, self.now + timeout_ms, **kwargs))

    def finish(
        self,
        send: StartAttempt,
        outcome=AttemptOutcome.SUCCEEDED,
        closed=None,
        elapsed_ms=100.0,
        **kwargs,
    ):
        closed = outcome is AttemptOutcome.SUCCEEDED if closed is None else closed
        return self.feed(
            AttemptEnded(
                send.request,
                self.sent[send.request] - 1,
                send.engine,
                outcome,
                elapsed_ms,
                closed,
                **kwargs,
            )
        )

    def tick(self, ms: float = 20.0) -> list[Action]:
        self.now += ms
        return self.feed(TimerFired("tick"))

    def run(self, ms: float) -> list[Action]:
        actions = []
        for _ in range(int(ms // 20)):
            actions += self.tick()
        return actions


def of_type(actions, kind):
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]
