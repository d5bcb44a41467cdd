"""Quantities with units.

Guards against figures that mix units: a cost of one broker taken for one of all, or seconds for bytes,
must raise instead of giving a number.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from umberusher.capacity.units import (
    COUNTED_UNITS,
    UNITS,
    Quantity,
    UnitError,
    format_number,
    format_quantity,
)


@given(st.floats(1e-3, 1e9), st.sampled_from(sorted(UNITS)), st.sampled_from(sorted(UNITS)))
def test_quantity_converts_to_units_of_its_dimension_only(value, unit, other):
    found = Quantity.of(value, unit)
    assert found.to(unit) == pytest.approx(value)
    if Quantity.of(1, other).dimension != found.dimension:
        for wrong in (
            lambda: found.to(other),
            lambda: found + Quantity.of(1, other),
            lambda: found - Quantity.of(1, other),
            lambda: found <= Quantity.of(1, other),
        ):
            with pytest.raises(UnitError):
                wrong()


def test_quantity_treats_counted_things_as_units():
    each = Quantity.of(150, "core us/change/broker") * Quantity.of(49_000, "change/day")
    assert each.to("% core/broker") == pytest.approx(150e-6 * 49_000 / 86_400 * 100)
    with pytest.raises(UnitError, match="expected '% core', got 'core/broker'"):
        each.to("% core")
    assert (each * Quantity.of(2_100, "broker")).to("% core") > 0


@pytest.mark.parametrize("unit", ["", "/s", "s/", "furlong", "us//s"])
def test_quantity_raises_when_the_unit_does_not_exist(unit):
    with pytest.raises(UnitError, match="is no unit"):
        Quantity.of(1, unit)


@pytest.mark.parametrize("value", [True, "2", None, float("nan"), float("inf")])
def test_quantity_raises_when_the_value_is_no_finite_number(value):
    with pytest.raises(UnitError, match="is no number"):
        Quantity.of(value, "s")


@pytest.mark.parametrize(
    "value, unit, message",
    [
        (1.3, "% core/broker", "1.3% of a core a broker"),
        (18, "KB/s/broker", "18 KB/s a broker"),
        (41.234, "core us/change/broker", "41.2 us of a core a change a broker"),
        (32_000, "engine", "32,000 engines"),
        (1, "broker", "1 broker"),
        (1.25, "times", "1.25 times"),
        (3, "1", "3"),
        (12.5, "%", "12.5%"),
        (2, "core", "2 cores"),
        (0.0004, "s", "0.0004 s"),
        (4_000, "engine/zone", "4,000 engines a zone"),
    ],
)
def test_format_quantity_names_the_unit_in_words(value, unit, message):
    assert format_quantity(Quantity.of(value, unit), unit) == message


@pytest.mark.parametrize(
    "value, message",
    [
        (0, "0"),
        (999.6, "1,000"),
        (99.96, "100"),
        (123_456, "123,000"),
        (0.0012345, "0.00123"),
        (-4.126, "-4.13"),
        (0.5, "0.5"),
    ],
)
def test_format_number_keeps_three_significant_digits(value, message):
    assert format_number(value) == message


def test_counted_units_are_distinct_and_differ_from_base_units():
    assert len(set(COUNTED_UNITS)) == len(COUNTED_UNITS)
    assert not set(COUNTED_UNITS) & {
        "s",
        "core",
        "B",
    }
