"""Cluster traces: published file layouts, their reader, mappings to requests, and replay plans."""
