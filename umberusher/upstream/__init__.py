"""Connections to engines, and the attempts, health checks and cancellations that they carry."""
