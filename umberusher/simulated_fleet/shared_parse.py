"""Parses identical discovery answers once for all simulated brokers of a process.

Some 260 brokers in a process receive the same bytes; parsing them for each would take most of a
run's time. The processor time of real brokers, with parsing, is measured by ``scale.real_brokers``.
Each broker's own client still reads the bytes and finds the end of the answer.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from umberusher.protocol import discovery as codec
from umberusher.protocol.discovery import WatchEvent

# Parsed answers that are cached; fewer different answers are sent at a time.
CACHED_DOCUMENTS_MAX = 16
# Lists of events that are cached; a document has one for each revision that brokers have.
CACHED_EVENT_LISTS_MAX = 4 * CACHED_DOCUMENTS_MAX


class _ParsedEvents(NamedTuple):
    """A document's events; the document is kept so that its id is not given to another object."""

    document: object
    events: list[WatchEvent]


@contextmanager
def shared_parse() -> Iterator[None]:
    """Replace the codec's two parsing functions by cached ones until the context ends.

    The cached results are shared, so no caller may modify them; the broker's endpoint registry
    does not.
    """
    parse_text = codec.read_document
    parse_events = codec.watch_events
    documents: dict[str, object] = {}
    event_lists: dict[tuple[int, int], _ParsedEvents] = {}

    def read_document(text: str) -> object:
        """Return the same document for the same text."""
        document = documents.get(text)
        if document is None:
            if len(documents) >= CACHED_DOCUMENTS_MAX:
                documents.pop(next(iter(documents)))
            document = parse_text(text)
            documents[text] = document
        return document

    def watch_events(document: object, after_revision: int) -> list[WatchEvent]:
        """Return the same events for the same document and revision."""
        key = (id(document), after_revision)
        cached = event_lists.get(key)
        if cached is None or cached.document is not document:
            if len(event_lists) >= CACHED_EVENT_LISTS_MAX:
                event_lists.pop(next(iter(event_lists)))
            cached = _ParsedEvents(document, parse_events(document, after_revision))
            event_lists[key] = cached
        return cached.events

    codec.read_document = read_document
    codec.watch_events = watch_events
    try:
        yield
    finally:
        codec.read_document = parse_text
        codec.watch_events = parse_events
