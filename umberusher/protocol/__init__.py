"""Codecs without I/O, which convert between bytes and typed values."""
