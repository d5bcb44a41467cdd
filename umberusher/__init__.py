"""umberusher: admission decisions for queries on a pool of engines."""

from umberusher.decide import Gateway

__all__ = ["Gateway"]
