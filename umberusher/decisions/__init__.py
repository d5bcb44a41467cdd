"""The load balancing decisions: which engine receives which attempt, and when.

The load balancer maps events to actions and does no I/O.
"""
