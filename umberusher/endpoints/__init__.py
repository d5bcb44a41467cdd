"""The endpoint list: all listed engines, and the subset of them that this broker uses.

The package does no I/O and needs no communication between brokers.
:class:`~umberusher.endpoints.registry.EndpointRegistry` is the entry point.
"""
