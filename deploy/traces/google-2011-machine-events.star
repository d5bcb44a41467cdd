# Machines of at least half the largest one's CPUs are large nodes, the others small ones.
def machine(row):
    return "std-16" if (row["cpus"] or 0.0) > 0.5 else "std-8"
