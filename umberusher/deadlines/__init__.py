"""Deadlines: one timeline, one budget a request, what the way takes, what is done with bytes that wait. No I/O."""
