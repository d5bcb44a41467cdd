"""The broker process: construction, readiness, shared limits, reload and shutdown."""
