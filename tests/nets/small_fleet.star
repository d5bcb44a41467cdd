# A tiny fleet for tests/nets/test_scale_run.py: some seconds of each kind of scene in the plan of the full fleet.
run = size(brokers = 6, engines = 60, regions = 2, zones = 4, control_machines = 4, workers = 2, seed = 3,
           memory_most = gb(2), wall_most = minutes(2), spread_most = ms(500))

statements = traffic(rate = per_s(2000), stretch = ms(50), every = s(4), answer = ms(5), held = 4)

scenes = [
    scene("start", lasts = s(6)),
    scene("ordinary", changes = per_s(1), lasts = s(10)),
    scene("lumps", entries = 10, every = s(4), lasts = s(9)),
    scene("zone_lost", zone = 1, told_after = s(2), back_after = s(6), lasts = s(10)),
    scene("region_start", region = 1, changes = per_s(1), lasts = s(8)),
    scene("control_lost", name = "one control machine lost", machines = 1, lost_for = s(60), played = s(4), lasts = s(8)),
    scene("control_lost", name = "one lost, own addresses", machines = 1, lost_for = s(60), own_addresses = 1,
          played = s(4), lasts = s(8)),
    scene("control_lost", name = "a third of control lost", machines = 2, lost_for = s(60), played = s(4), lasts = s(8)),
    scene("control_lost", name = "all control lost", machines = 4, lost_for = s(60), played = s(4), lasts = s(8)),
    scene("regions_apart", apart_for = s(60), played = s(4), lasts = s(8)),
    scene("primary_change", keys = 8, rate = per_s(2), entry_after = s(2), gone_after = s(1), lasts = s(8)),
    scene("hail", changes = per_s(20), lasts = s(5)),
    scene("ids", entries = 10, every = s(2), lasts = s(6)),
    scene("twice", entries = 10, lasts = s(6)),
    scene("nothing", empty_for = s(3), lasts = s(8)),
]
