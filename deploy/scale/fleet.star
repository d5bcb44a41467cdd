# The size to plan with: 2,100 brokers before 32,000 engines, 3 regions with 8 zones, 19 control machines, 49,000 changes
# a day. Eight cores, some minutes, under 12 GB.
run = size(brokers = 2100, engines = 32000, regions = 3, zones = 8, control_machines = 19, workers = 8, seed = 1,
           memory_most = gb(12), wall_most = minutes(15), spread_most = ms(800))

# 13 million a second over 2,100 brokers, of which 1 in 500 is played: 20 ms of every 10 s at the full rate.
statements = traffic(rate = per_s(6190), stretch = ms(20), every = s(10), answer = ms(5), held = 4)

scenes = [
    scene("start", lasts = s(20)),
    scene("ordinary", changes = per_day(49000), lasts = s(34)),
    scene("lumps", entries = 4000, every = s(10), lasts = s(36)),
    scene("zone_lost", zone = 3, told_after = s(5), back_after = s(25), lasts = s(50)),
    scene("region_start", region = 0, changes = per_day(49000), lasts = s(30)),
    scene("control_lost", name = "one control machine lost", machines = 1, lost_for = hours(1), played = s(12),
          changes = per_day(49000), lasts = s(30)),
    scene("control_lost", name = "one lost, own addresses", machines = 1, lost_for = hours(1), own_addresses = 1,
          played = s(12), changes = per_day(49000), lasts = s(30)),
    scene("control_lost", name = "a third of control lost", machines = 6, lost_for = hours(1), played = s(12),
          changes = per_day(49000), lasts = s(30)),
    scene("control_lost", name = "all control lost", machines = 19, lost_for = hours(1), played = s(12),
          changes = per_day(49000), lasts = s(30)),
    scene("regions_apart", apart_for = hours(1), played = s(18), changes = per_day(49000), lasts = s(44)),
    scene("primary_change", keys = 64, rate = per_s(1), entry_after = s(2), gone_after = s(1), lasts = s(30)),
    scene("hail", changes = per_s(50), lasts = s(20)),
]

real = serve(brokers = 4, engines = 32000, changes = per_day(49000), lump = 4000, statements = per_s(50), lasts = s(60))
