"""Hollow parties of a scale run: brokers, engines and control machines without what it does not ask of them."""
