"""Fixture of the discovery tests: clients with scripted services, closed after the test."""

from __future__ import annotations

import pytest

from tests.discovery.scripted_discovery import ScriptedDiscovery


@pytest.fixture
def scripted():
    """Return a function that starts a discovery client with a scripted service."""
    created = []

    def make(*args, **kwargs) -> ScriptedDiscovery:
        created.append(ScriptedDiscovery(*args, **kwargs))
        created[-1].client.start()
        return created[-1]

    yield make
    for each in created:
        each.close()
