# Bad input at the size to plan with, apart from fleet.star for its memory: ids in the thousands that come and go, entries
# named twice, a whole list of nothing.
run = size(brokers = 2100, engines = 32000, regions = 3, zones = 8, control_machines = 19, workers = 8, seed = 1,
           memory_most = gb(12), wall_most = minutes(10), spread_most = ms(800))
statements = traffic(rate = per_s(6190), stretch = ms(20), every = s(10), answer = ms(5), held = 4)

scenes = [
    scene("start", lasts = s(10)),
    scene("ids", entries = 3000, every = s(5), lasts = s(20)),
    scene("twice", entries = 1000, lasts = s(15)),
    scene("nothing", empty_for = s(5), lasts = s(20)),
]
