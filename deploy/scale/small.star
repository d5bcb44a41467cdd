# A small fleet, in a minute or so on any machine: to try a scene, or a change of the program, before the size to plan with.
run = size(brokers = 40, engines = 1000, regions = 3, zones = 8, control_machines = 19, workers = 4, seed = 1,
           memory_most = gb(4), wall_most = minutes(10), spread_most = ms(800))

# Each broker plays 25 ms of every 10 s at its full share of 13 million statements a second; the rest is not played.
statements = traffic(rate = per_s(6190), stretch = ms(25), every = s(10), answer = ms(5), held = 4)

scenes = [
    scene("start", lasts = s(20)),
    scene("ordinary", changes = per_s(0.57), lasts = s(40)),
    scene("lumps", entries = 125, every = s(10), lasts = s(40)),
    scene("zone_lost", zone = 3, told_after = s(5), back_after = s(25), lasts = s(50)),
    scene("region_start", region = 0, changes = per_s(0.57), lasts = s(40)),
    scene("control_lost", name = "one control machine lost", machines = 1, lost_for = hours(1), played = s(20),
          lasts = s(40)),
    scene("control_lost", name = "one lost, own addresses", machines = 1, lost_for = hours(1), own_addresses = 1,
          played = s(20), lasts = s(40)),
    scene("control_lost", name = "a third of control lost", machines = 6, lost_for = hours(1), played = s(20),
          lasts = s(40)),
    scene("control_lost", name = "all control lost", machines = 19, lost_for = hours(1), played = s(20), lasts = s(40)),
    scene("regions_apart", apart_for = hours(1), played = s(20), lasts = s(50)),
    scene("primary_change", keys = 64, rate = per_s(2), entry_after = s(2), gone_after = s(1), lasts = s(40)),
    scene("hail", changes = per_s(100), lasts = s(30)),
    scene("ids", entries = 500, every = s(5), lasts = s(30)),
    scene("twice", entries = 50, lasts = s(20)),
    scene("nothing", empty_for = s(5), lasts = s(30)),
]

real = serve(brokers = 2, engines = 1000, changes = per_s(0.57), lump = 125, statements = per_s(50), lasts = s(15))
