"""umberusher: a broker that balances client queries over a pool of query engines."""

from umberusher.decisions.balancer import LoadBalancer

__all__ = ["LoadBalancer"]
__version__ = "0.1.0"
