"""What the size to plan with asks of each role, by slopes that were measured. No I/O, nothing of the broker."""
