"""Scale runs: scenes with thousands of simulated brokers, and measurements of a few real ones.

``plan`` reads the plan, ``world`` plays its scenes in one worker process, ``run`` manages the
workers, and ``real_brokers`` measures a few ``serve`` processes on the wall clock.
"""
