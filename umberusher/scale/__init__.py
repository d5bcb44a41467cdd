"""Scale runs: a plan's scenes played with thousands of hollow brokers, and figures of real ones beside them."""
