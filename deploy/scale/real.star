# Real brokers alone (--only real) at the size to plan with, in some two minutes: what a list of 32,000 costs each, and
# its changes, one by one and in lumps.
run = size(brokers = 2100, engines = 32000, workers = 8, seed = 1)
statements = traffic()
scenes = [scene("start")]
real = serve(brokers = 4, engines = 32000, changes = per_day(49000), lump = 4000, statements = per_s(50), lasts = s(30))
