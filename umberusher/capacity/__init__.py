"""Computes what each role needs at the planned size from measured costs.

Does no I/O and uses no code of the broker. ``plan`` has the numbers to plan with, ``measurement``
and ``scale_records`` read measurements, ``measured_costs`` computes costs at the planned size,
``roles`` lists what each role needs, and ``tables`` and ``page`` write and check the capacity page.
"""
