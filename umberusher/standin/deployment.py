"""The terms of a deployment of engines: what it allows and reports, where deployments differ."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeploymentTerms:
    """The terms of one deployment.

    Attributes:
        health_checks: Whether engines accept health checks; else they report their load in answers.
        priorities: Whether priorities have an effect.
        cost_in_answers: Whether answers report work and memory.
        retry_budget_ratio: Retries per request of the window.
        overload_multiple: Load beyond which an engine may collapse, as a multiple of its capacity.
        overload_window_ms: Time over which that load counts.
        progress_interval_ms: How often an engine reports the progress of an attempt in flight.
        runaway_fraction: Fraction of the attempts of class ``report`` that get a bad query plan.
        tenant_quotas: Tenants and their quotas, requests/s over all brokers.
    """

    health_checks: bool = True
    priorities: bool = False
    cost_in_answers: bool = False
    max_attempts: int = 6
    retry_budget_ratio: float = 0.1
    retry_budget_window_ms: float = 10_000.0
    overload_multiple: float = 4.0
    overload_window_ms: float = 1_500.0
    progress_interval_ms: float = 1_000.0
    keepalive_ms: float = 15_000.0
    runaway_fraction: float = 0.0
    tenant_quotas: tuple[tuple[str, float], ...] = ()
