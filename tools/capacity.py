"""Measures the resource use of nodes at rest and during configuration changes
at several mesh sizes, and the restart of a whole mesh. Fits a line against the
number of nodes and writes run/capacity.json.

    capacity.py [NODES ...]    25, 50, 100 and 200 without arguments
"""

import json
import os
import statistics
import sys
import time

from bench import OUTPUT, change_rows, control_rates, resident_mb
from cluster import Cluster

ZONES = 4
SIZES = [25, 50, 100, 200]
RESTART_MIX = ["listings:GET:/search", "bookings:POST:/reserve"]
SERVICES = ["bookings", "listings", "media", "reports"]
REST_SECONDS = 10
CHANGES = 10
SETTLE_SECONDS = 5


def make_cluster(nodes):
    """A deployment of `nodes` nodes. Only the first 16, those of sagarmatha,
    get backend servers."""
    cluster = Cluster("deploy/sagarmatha", 45)
    zones = cluster.spec["zones"]
    hosts = cluster.spec["hosts"]
    for number in range(len(hosts), nodes):
        hosts.append({"name": f"extra-{number}", "zone": zones[number % ZONES],
                      "service": SERVICES[number % len(SERVICES)]})
    cluster.place_hosts()
    return cluster


def measure(nodes):
    with make_cluster(nodes) as cluster:
        cluster.start_platform()
        begin = time.monotonic()
        for host in cluster.hosts:
            cluster.start_node(host)
        for host, entry in zip(cluster.hosts_in_spec_order()[:16],
                               cluster.spec["hosts"]):
            cluster.start_backend(host, entry["service"], "v1")
        cluster.wait(cluster.all_joined, "every node to join", 60, 0.5)
        joined = time.monotonic() - begin
        cluster.apply_first_table()
        time.sleep(SETTLE_SECONDS)
        rest = control_rates(cluster, REST_SECONDS)
        times = []
        changing = control_rates(
            cluster, REST_SECONDS,
            lambda: times.extend(change_rows(cluster, CHANGES, 0.5)))
        resident = max(resident_mb(host.node) for host in cluster.hosts)
        return {
            "nodes": nodes, "joined_s": round(joined, 1),
            "convergence_median_ms": statistics.median(times),
            "convergence_worst_ms": max(times),
            "rest": rest, "changing": changing,
            "resident_mb": round(resident, 1),
            **restart_all_nodes(cluster)}


def restart_all_nodes(cluster):
    """Kills every node at once and restarts them all. Returns the seconds until
    all are started and until all have joined, and the outcomes of calls through
    all of them afterwards."""
    for host in cluster.hosts:
        host.node.kill()
    for host in cluster.hosts:
        host.node.wait()
    begin = time.monotonic()
    for host in cluster.hosts:
        cluster.start_node(host)
    started = time.monotonic() - begin
    cluster.wait(cluster.all_joined, "every node to join again", 60, 0.5)
    rejoined = time.monotonic() - begin
    load = cluster.start_load("herd", RESTART_MIX, 200, 3)
    outcomes = cluster.finish_load("herd", load)["outcomes"]
    return {"herd_started_s": round(started, 1),
            "herd_returned_s": round(rejoined, 1), "herd_calls": outcomes}


def slope(points):
    """Slope of the least-squares line through (x, y) and its standard error."""
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.mean(xs), statistics.mean(ys)
    x_variation = sum((x - mean_x) ** 2 for x in xs)
    fit = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    rest = sum((y - mean_y - fit * (x - mean_x)) ** 2 for x, y in points)
    error = (rest / max(1, len(points) - 2) / x_variation) ** 0.5
    return fit, error


def main():
    sizes = [int(text) for text in sys.argv[1:]] or SIZES
    rows = []
    for size in sizes:
        rows.append(measure(size))
        print(json.dumps(rows[-1]), flush=True)
    lines = {
        "resident MB": lambda row: row["resident_mb"],
        "bytes/s at rest": lambda row: row["rest"]["bytes_per_node_s"],
        "core % at rest": lambda row: row["rest"]["core_percent_per_node"],
        "platform calls/s": lambda row: row["rest"]["platform_calls_per_s"],
    }
    slopes = {}
    if len(rows) > 2:
        for name, value in lines.items():
            fit, error = slope([(row["nodes"], value(row)) for row in rows])
            slopes[name] = {"per_node": fit, "error": error}
            print(f"{name}: {fit:+.4f} per node, standard error {error:.4f}")
    os.makedirs(OUTPUT, exist_ok=True)
    with open(os.path.join(OUTPUT, "capacity.json"), "w") as file:
        json.dump({"sizes": rows, "slopes": slopes}, file, indent=2)


if __name__ == "__main__":
    main()
