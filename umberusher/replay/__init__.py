"""Replays: plans played through real brokers against stand-ins, on the wall clock or in steps, and their score."""
