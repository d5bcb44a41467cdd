# A batch task is a request; its length is known where it has ended.
classes = ["lookup", "report", "load"]

def keep(row):
    if row["status"] != "Terminated" or not row["end_time"]:
        return "did not end by itself"
    return True

def _seconds(row):
    return max(row["end_time"] - row["start_time"], 1)

def query_class(row):
    if row["task_name"].startswith("task_"):
        return "lookup"          # single tasks outside any graph
    return "load" if row["task_name"].startswith("J") else "report"

def work_ms(row):
    # A batch second becomes 10 ms: these tasks run for minutes, the site's queries for moments.
    limit = {"lookup": 1000.0, "report": 20000.0, "load": 12000.0}[query_class(row)]
    return min(20.0 + 10.0 * _seconds(row) * (row["plan_cpu"] or 100.0) / 100.0, limit)

def memory_mb(row):
    return 40.0 + 300.0 * (row["plan_mem"] or 0.0)

def key(row):
    return row["job_name"] if query_class(row) == "load" else None

def group(row):
    return len(row["job_name"]) % 12

def job(row):
    return row["job_name"]
