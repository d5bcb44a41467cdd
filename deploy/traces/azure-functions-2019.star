# An invocation is a request. duration_ms and app_memory_mb are joined from the other tables (None where they lack it).
classes = ["lookup", "report", "load"]

def query_class(row):
    if row["Trigger"] in ("storage", "queue", "event"):
        return "load"
    return "lookup" if (row["duration_ms"] or 100.0) < 1500.0 else "report"

def work_ms(row):
    return min(max(row["duration_ms"] or 100.0, 1.0), 30000.0)

def memory_mb(row):
    return row["app_memory_mb"] or 64.0

def key(row):
    return row["HashFunction"][:64] if query_class(row) == "load" else None

def group(row):
    return len(row["HashApp"]) % 12

def job(row):
    return row["HashFunction"]
