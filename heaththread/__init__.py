"""heaththread: admission decisions for queries on a pool of engines."""

from heaththread.decide import Gateway

__all__ = ["Gateway"]
