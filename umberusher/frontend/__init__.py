"""The front ends: listeners that turn the bytes of clients into requests."""
