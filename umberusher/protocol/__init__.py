"""Codecs without I/O: bytes in, values out, and back."""
