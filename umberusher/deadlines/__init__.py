"""Deadlines: the timeline, time budgets, network delays, cancels and accounting. No I/O."""
