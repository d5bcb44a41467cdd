"""Replays: a plan played through real brokers between stand-ins, checked and scored."""
