"""The path of a request through the broker: admission, contracts, registry, final answer."""
