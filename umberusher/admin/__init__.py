"""The admin listener and the metrics that it serves."""
