"""The stages that a request passes: take in, admit, route, send, relay, book."""
