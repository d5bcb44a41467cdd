# The size that the design is held against. `umberusher capacity` reads it; a broker never does.
# of(number, unit): what the users have said. assumed(number, unit, why): what they have not, and have to be asked.

size = plan(
    brokers = of(2100, "broker"),
    engines = of(32000, "engine"),
    connections = of(11000000, "connection"),
    statements = of(13000000, "statement/s"),
    primary_changes = of(21, "change/day"),
    primary_within = of(9, "s"),
    regions = of(3, "region"),
    zones = of(8, "zone"),                       # 4,000 databases each
    changes = of(49000, "change/day"),
    in_force_within = of(14, "s"),
    control_processor = of(1.3, "% core/broker"),
    control_memory = of(256, "MB/broker"),
    control_bytes = of(18, "KB/s/broker"),
    control_machines = of(19, "machine"),
    failures = of(73, "machine/day"),
    replacements = of(2700, "machine/day"),
    regions_apart = of(1, "h"),
    lump = of(4000, "change"),                   # one of each of a zone's databases
    ready_within = of(10, "s"),
    engines_compared = of(1000, "engine"),
    arrival_ratio = of(1.3, "times"),
    change_ratio = of(2, "times"),
    engine_imbalance = of(1.25, "times"),        # aimed at
    rack = assumed(40, "engine", why = "racks are named, their size is not"),
    broker_cores = assumed(1, "core/broker", why = "a broker is one thread"),
    settle_after_doubt = assumed(500, "ms", why = "the first site's settings"),
    repeat_part = assumed(0.1, "times", why = "the first site's settings"),
    counted_over = assumed(10, "s", why = "the first site's settings"),
    warm_within = assumed(15, "s", why = "the first site's settings"),
)
