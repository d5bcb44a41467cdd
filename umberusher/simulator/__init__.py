"""Runs the decisions in simulated time: events and actions are lines on the standard streams."""
