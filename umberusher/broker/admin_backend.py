"""Implements the admin calls: readiness, metrics and manual drains."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from umberusher.admin import metrics
from umberusher.admin.metrics import MetricFamily
from umberusher.broker.readiness import Readiness
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.settings import QueryClass
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.upstream.upstream import Upstream

if TYPE_CHECKING:  # Saves memory: only brokers that enforce contracts import the module.
    from umberusher.pipeline.contracts import ContractEnforcer


class BrokerAdminBackend:
    """Implements ``AdminBackend`` on the broker's components."""

    __slots__ = (
        "_balancer",
        "_classes",
        "_contracts",
        "_endpoints",
        "_now_ms",
        "_readiness",
        "_registry",
        "_upstream",
    )

    def __init__(
        self,
        now_ms: Callable[[], float],
        classes: Iterable[QueryClass],
        readiness: Readiness,
        balancer: LoadBalancer,
        endpoints: EndpointRegistry,
        registry: RequestRegistry,
        upstream: Upstream,
        contracts: ContractEnforcer | None,
    ) -> None:
        self._now_ms = now_ms
        self._classes = classes
        self._readiness = readiness
        self._balancer = balancer
        self._endpoints = endpoints
        self._registry = registry
        self._upstream = upstream
        self._contracts = contracts

    def is_ready(self) -> bool:
        """Return whether this process is ready for clients."""
        return self._readiness.is_ready()

    def start_manual_drain(self, engine: str) -> bool:
        """Drain an engine until ``end_manual_drain``; return whether its id is known."""
        return self._endpoints.start_manual_drain(engine)

    def end_manual_drain(self, engine: str) -> bool:
        """End the manual drain of an engine; return whether its id is known."""
        return self._endpoints.end_manual_drain(engine)

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        class_names = (each.name for each in self._classes)
        return metrics.render(
            [
                *metrics.final_answer_families(self._registry.final_answers, class_names),
                metrics.counter(
                    "attempts", "Attempts written whole to engines.", self._registry.attempts_sent
                ),
                *self._gauges(),
                *metrics.deadline_families(self._registry.account, self._upstream.expired),
                *self._contract_families(),
            ]
        )

    def _gauges(self) -> list[MetricFamily]:
        in_flight = self._registry.in_flight
        known = len(self._endpoints.directory)
        excluded_help = "Listed engines that are avoided, by hand or by judgement."
        return [
            metrics.gauge("in_flight", "Requests taken and not yet ended.", in_flight),
            metrics.gauge("engines_known", "Engines in the list.", known),
            metrics.gauge("engines_excluded", excluded_help, self._excluded_engine_count()),
        ]

    def _excluded_engine_count(self) -> int:
        ejected = self._balancer.ejected_endpoints(self._now_ms())
        drained = self._endpoints.manual_drains.keys()
        return len((ejected | drained) & self._endpoints.directory.keys())

    def _contract_families(self) -> list[MetricFamily]:
        if self._contracts is None:
            return []
        return self._contracts.metric_families()
