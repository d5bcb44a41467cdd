"""The line through measured points, and the size at which the points leave it.

Guards against costs that are extrapolated along a straight line although they rise faster, or stop
rising, above some measured size.
"""

from __future__ import annotations

import pytest

from umberusher.capacity.line_fit import fit_line, relative_difference

SIZES = (60, 1_000, 4_000, 8_000, 16_000, 32_000)


def test_fit_line_recovers_an_exact_line_without_a_bend():
    found = fit_line([(x, 3 + 0.25 * x) for x in SIZES])
    assert found.base == pytest.approx(3)
    assert found.slope == pytest.approx(0.25)
    assert found.residuals == pytest.approx([0.0] * 6, abs=1e-9)
    assert found.linear_to == 32_000
    assert found.at(64_000) == pytest.approx(16_003)


def test_fit_line_returns_the_least_squares_line_of_scattered_points():
    found = fit_line([(0, 1.0), (1, 1.0), (2, 4.0)])  # by hand: slope 3/2, base 1/2
    assert (found.base, found.slope) == pytest.approx((0.5, 1.5))
    assert found.residuals == pytest.approx([0.5 / 1.0, -1.0 / 2.0, 0.5 / 4.0])


@pytest.mark.parametrize(("bend", "last"), [(4_000, 4_000), (8_000, 8_000), (16_000, 16_000)])
def test_fit_line_finds_the_bend_where_the_cost_doubles(bend, last):
    found = fit_line([(x, (100 + x) * (1 if x <= bend else 2)) for x in SIZES])
    assert found.linear_to == last


def test_fit_line_finds_a_bend_in_a_square_and_none_in_a_constant_cost():
    assert fit_line([(x, 5.0 + x * x) for x in SIZES]).linear_to == 1_000
    assert fit_line([(x, 90.0) for x in SIZES]).linear_to == 32_000
    assert fit_line([(x, 0.0) for x in SIZES]).residuals == [0.0] * 6


def test_fit_line_finds_the_bend_where_a_cost_levels_off():
    assert fit_line([(x, min(x, 8_000)) for x in SIZES]).linear_to == 8_000


def test_fit_line_ignores_differences_within_the_tolerance():
    points = [
        (1, 1.0),
        (2, 2.0),
        (3, 3.3),
        (4, 4.4),
    ]  # the third lies 9.1% above the line through the first two
    assert fit_line(points, 0.10).linear_to == 4
    assert fit_line(points, 0.08).linear_to == 2


@pytest.mark.parametrize("points", [[], [(1, 1)], [(2, 1), (1, 2)], [(1, 1), (1, 2)]])
def test_fit_line_raises_without_two_rising_sizes(points):
    with pytest.raises(ValueError):
        fit_line(points)


def test_relative_difference_is_finite_where_one_figure_is_0():
    assert (
        relative_difference(0, 0),
        relative_difference(3, 0),
        relative_difference(0, 3),
        relative_difference(1.1, 1.0),
    ) == pytest.approx((0, 1, -1, 0.1 / 1.1))
