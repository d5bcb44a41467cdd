"""Tests that a run is refused when the system allows too few file descriptors."""

from __future__ import annotations

import pytest

from umberusher.errors import UsageError
from umberusher.scale.descriptors import ensure_descriptor_limit


def test_ensure_descriptor_limit_raises_when_the_system_allows_fewer():
    with pytest.raises(UsageError, match="a worker needs 1,000,000,000 descriptors"):
        ensure_descriptor_limit(1_000_000_000)
