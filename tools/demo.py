"""The demo: moves all traffic to a good version by its deadline, then starts a
move to a bad version, which is rolled back while the platform is suspended.

The last line says whether the demo passed and gives its figures.
"""

import signal
import sys
import time

from cluster import Cluster, fail

GOOD_DEADLINE_S = 20
BAD_DEADLINE_S = 20
RECALL_TIMEOUT_S = 20
LOAD_SECONDS = 75
CALLS_PER_SECOND = 240
MIX = ["listings:GET:/search", "bookings:GET:/check", "bookings:POST:/reserve",
       "bookings:POST:/pay"]
SERVICES = ["bookings", "listings", "media", "reports"]


def log(text):
    print(f"[{time.monotonic() - BEGIN:5.1f} s] {text}", flush=True)


def table(**versions):
    """Table rows: every service on v1, except bookings, which gets the rows
    given."""
    rows = [{"service": service, "version": "v1", "weight": 100}
            for service in SERVICES if service != "bookings"]
    return rows + [{"service": "bookings", **row}
                   for row in versions["bookings"]]


def watch_move(cluster, timeout):
    """Prints the progress of a move until it ends or the timeout passes.
    Returns its last status."""
    end = time.monotonic() + timeout
    last_line = None
    while True:
        status = cluster.service_status("bookings")
        stages = status["stage_permille"]
        line = f"{status['outcome']} " + " ".join(
            f"{zone}={stage / 10:g}%" for zone, stage in sorted(stages.items()))
        if line != last_line:
            log(f"bookings: {line}")
            last_line = line
        if status["outcome"] in ("done", "taken back"):
            return status
        if time.monotonic() > end:
            return status
        time.sleep(0.3)


def main():
    problems = []
    with Cluster("deploy/sagarmatha", network=10,
                 keep_logs="--keep_logs" in sys.argv) as cluster:
        log("starting the emulated platform, 16 nodes and 16 backend servers")
        cluster.start()
        cluster.apply_first_table()
        log("the first table is in force on every node")
        load = cluster.start_load("callers", MIX, CALLS_PER_SECOND,
                                  LOAD_SECONDS)

        log("starting version v2 of bookings beside v1")
        cluster.start_version("bookings", "v2", 8001)
        cluster.wait_targets(20)
        move_start = time.monotonic()
        answer = cluster.apply(table(bookings=[
            {"version": "v1", "weight": 0},
            {"version": "v2", "weight": 100,
             "move_by": f"+{GOOD_DEADLINE_S}s"}]))
        convergence_ms = cluster.convergence_ms(answer)
        log(f"revision {answer['revision']} is accepted, in force on 16 nodes "
            f"{convergence_ms:.0f} ms later; "
            f"v2 is to get all requests within {GOOD_DEADLINE_S} s")
        status = watch_move(cluster, GOOD_DEADLINE_S + 10)
        duration_s = time.monotonic() - move_start
        good = status["outcome"] == "done" and duration_s <= GOOD_DEADLINE_S
        if not good:
            problems.append(
                f"v2 is {status['outcome']} after {duration_s:.0f} s")

        log("starting version v3 of bookings; its /pay always fails")
        cluster.start_version("bookings", "v3", 8002, fault="errors",
                              fault_route="/pay")
        cluster.wait_targets(24)
        answer = cluster.apply(table(bookings=[
            {"version": "v2", "weight": 0},
            {"version": "v3", "weight": 100, "move_by": f"+{BAD_DEADLINE_S}s"}]))
        cluster.wait_in_force(answer["revision"])
        log("suspending the platform process")
        cluster.platform.send_signal(signal.SIGSTOP)
        status = watch_move(cluster, RECALL_TIMEOUT_S)
        recalled = status["outcome"] == "taken back"
        if recalled:
            log("rolled back while the platform did not respond: "
                f"{status['reason']}")
        else:
            problems.append(f"v3 is {status['outcome']}: {status['reason']}")
        time.sleep(1)
        cluster.platform.send_signal(signal.SIGCONT)
        log("resumed the platform process")
        load.send_signal(signal.SIGTERM)
        result = cluster.finish_load("callers", load)
        log(f"callers: {result}")
        calls_on_bad = sum(1 for call in cluster.calls("callers")
                           if call[4] == "v3")
        log(f"{calls_on_bad} of {result['calls']} calls were answered by v3")
        double_runs = cluster.double_runs()
        false_not_runs = cluster.false_not_runs()
        if double_runs or false_not_runs:
            problems.append(f"{double_runs} double runs, {false_not_runs} "
                            "requests ran although answered NotRun")
        if result["wrong_answers"]:
            problems.append(f"{result['wrong_answers']} wrong answers")
        if problems:
            print("demo failed: " + "; ".join(problems))
            sys.exit(1)
        print(f"demo passed: nodes={len(cluster.hosts)} "
              f"convergence_ms={convergence_ms:.0f} "
              f"good_done_in_time={int(good)}/1 "
              f"bad_taken_back={int(recalled)}/1 double_runs={double_runs} "
              f"wrong_answers={result['wrong_answers']}")


if __name__ == "__main__":
    BEGIN = time.monotonic()
    try:
        main()
    except (TimeoutError, RuntimeError) as error:
        print(f"demo failed: {error}")
        fail("")
