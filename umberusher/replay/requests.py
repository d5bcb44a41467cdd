"""The requests of a plan, with what is drawn at random for each."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

import xxhash

from umberusher.replay import site
from umberusher.replay.options import ReplayOptions
from umberusher.standin.deployment import DeploymentTerms
from umberusher.standin.statements import encode_statement
from umberusher.traces.plan import Plan, PlanRow

ESTIMATE_SPREAD = 0.4
"""Standard deviation of the log of a client's estimate of the work."""
MEMORY_SPREAD = 0.3
"""The same for the memory."""
MIN_DEADLINE_FRACTION = 0.8  # of the class's deadline, drawn up to 1
MIN_TIGHT_DEADLINE_MS = 1.0
TIGHT_DEADLINE_RANGE_MS = 400.0
MAX_DISCONNECT_FRACTION = 0.9  # of the deadline
MIN_DISCONNECT_MS = 1.0
BROKER_DRAW_BITS = 16


@dataclass(slots=True)
class ClientRequest:
    """One request of the plan, with its client's retries.

    Attributes:
        deadline_ms: Time of the replay at which its client withdraws it.
        broker: The number of the broker that it is sent to.
        disconnect_after_ms: Time from its arrival to its client's disconnect; None without one.
        obeys_retry_after: Its retry waits for the Retry-After of a rejection.
    """

    number: int
    query_class: str
    work_ms: float
    key: str
    body: bytes
    fields: dict[str, str]
    arrived_ms: float
    deadline_ms: float
    broker: int
    attempt_count: int = 0
    disconnect_after_ms: float | None = None
    obeys_retry_after: bool = False


class RequestFactory:
    """Makes the clients' requests; the draws of each depend on the seed and its number alone."""

    __slots__ = ("_options", "_plan", "_terms")

    def __init__(self, plan: Plan, options: ReplayOptions, terms: DeploymentTerms) -> None:
        self._plan = plan
        self._options = options
        self._terms = terms

    def make(self, number: int, row: PlanRow, now_ms: float) -> ClientRequest:
        """Make a request that arrives now. The order of the random draws must not change."""
        query_class = self._plan.classes[row.query_class]
        settings = site.CLASS_BY_NAME[query_class]
        rng = random.Random((self._options.seed << 32) ^ number)
        key = ""
        if settings.get("keep_order", False):
            key = row.key or f"none-{number}"
        body = encode_statement(
            row.group,
            row.work_ms,
            row.memory_mb,
            site.THREADS_BY_CLASS[query_class],
            query_class == site.LOAD_CLASS,
            f"{number:08x}",
        )
        fields = self._draw_fields(rng, number, query_class, row, key)
        limit_ms = self._draw_limit_ms(rng, settings["deadline_ms"])
        return ClientRequest(
            number=number,
            query_class=query_class,
            work_ms=row.work_ms,
            key=key,
            body=body,
            fields=fields,
            arrived_ms=now_ms,
            deadline_ms=now_ms + limit_ms,
            broker=self._draw_broker(rng, key),
            disconnect_after_ms=self._draw_disconnect_ms(rng, limit_ms),
        )

    def _draw_fields(
        self,
        rng: random.Random,
        number: int,
        query_class: str,
        row: PlanRow,
        key: str,
    ) -> dict[str, str]:
        estimate_ms = row.work_ms * math.exp(rng.gauss(0.0, ESTIMATE_SPREAD))
        memory_estimate_mb = max(row.memory_mb * math.exp(rng.gauss(0.0, MEMORY_SPREAD)), 1.0)
        fields = {
            "method": query_class,
            "est": f"{estimate_ms:.1f}",
            "ram": f"{memory_estimate_mb:.0f}",
        }
        if key:
            fields["obj"] = key
        if self._options.request_teams:
            fields["team"] = self._options.request_teams[number]
        if self._terms.tenant_quotas:
            names, quotas = zip(*self._terms.tenant_quotas, strict=True)
            fields["acct"] = rng.choices(names, quotas)[0]
        return fields

    def _draw_limit_ms(self, rng: random.Random, class_deadline_ms: float) -> float:
        limit_ms = class_deadline_ms * rng.uniform(MIN_DEADLINE_FRACTION, 1.0)
        tight_fraction = self._options.tight_deadline_fraction
        if tight_fraction and rng.random() < tight_fraction:
            return MIN_TIGHT_DEADLINE_MS + TIGHT_DEADLINE_RANGE_MS * rng.random() ** 2
        return limit_ms

    def _draw_broker(self, rng: random.Random, key: str) -> int:
        if key:
            return xxhash.xxh3_64_intdigest(key.encode()) % self._options.broker_count
        broker = rng.getrandbits(BROKER_DRAW_BITS) % self._options.broker_count
        uneven_fraction = self._options.uneven_fraction
        if uneven_fraction and rng.random() < uneven_fraction:
            return 0
        return broker

    def _draw_disconnect_ms(self, rng: random.Random, limit_ms: float) -> float | None:
        """Draw when a client disconnects: mostly early, half within an eighth of the range."""
        if rng.random() >= self._options.disconnect_fraction:
            return None
        delay_ms = limit_ms * MAX_DISCONNECT_FRACTION * rng.random() ** 3
        return max(delay_ms, MIN_DISCONNECT_MS)
