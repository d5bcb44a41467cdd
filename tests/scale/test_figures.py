"""Tests the quantile of values and the largest over the mean that chance alone gives."""

from __future__ import annotations

from umberusher.scale.figures import poisson_largest_over_mean, quantile


def test_quantile_is_the_value_that_a_fraction_does_not_exceed():
    assert [quantile(range(1, 101), fraction) for fraction in (0.5, 0.99, 1.0)] == [50, 99, 100]


def test_poisson_largest_over_mean_is_the_poisson_quantile_of_the_largest_count():
    assert poisson_largest_over_mean(0.0, 100) == 1.0 == poisson_largest_over_mean(5.0, 1)
    # Mean 100, deviation 10; 1 in 1,000 is 3.1 deviations.
    assert 1.3 < poisson_largest_over_mean(100.0, 1000) < 1.35
    assert 1.0 < poisson_largest_over_mean(1e6, 32_000) < 1.01
