"""Answers of the discovery service as bytes, for tests of the codec and of its client."""

from __future__ import annotations

import json

ENDPOINT_ITEM_BYTES = 215  # size of one entry as the discovery service sends it


def endpoint_item(number: int, state: str = "SERVING", port: int = 5000) -> dict:
    """Return one entry of a list, as long as real entries are."""
    return {
        "instanceId": f"db-{number:05d}-{number * 31:08x}",
        "hostPort": f"10.0.{number % 200}.7:{port}",
        "zone": f"region-{number % 3}-zone-{number % 8}",
        "machineType": "std-16",
        "cell": number % 40,
        "lifecycle": state,
        "weight": 8,
        "startedAtMs": 1_700_000_000_000 + number,
    }


def answer_body(rev: int, entries: list[dict], reset: bool = True, at: int | None = None) -> bytes:
    return json.dumps(
        {
            "rev": rev if at is None else at,
            "notices": [{"rev": rev, "pool": {"reset": reset, "instances": entries}}],
        }
    ).encode()


def http_answer(body: bytes, status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body
