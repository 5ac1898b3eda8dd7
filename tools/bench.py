"""Measures what the nodes add to a request (latency and CPU time), the
distribution of configuration changes, and a move. Prints tables and writes
run/bench.json and two plots (SVG).

    bench.py [NAME ...]    path, distribution, move; without a name all of them
"""

import json
import os
import statistics
import sys
import time

from cluster import BACKEND_PORT, CALLER_PORT, ROOT, Cluster

OUTPUT = os.path.join(ROOT, "run")
PATH_RATES = [200, 2000]
PATH_SECONDS = 5
REPEATS = 3
CHANGES = 20
IDLE_SECONDS = 10
CHANGE_SECONDS = 20


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(process):
    with open(f"/proc/{process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def load_on(cluster, name, address, rate, **flags):
    process = cluster.run(
        name, cluster.program("load"), f"--nodes={address}",
        "--mix=listings:GET:/search", f"--rate={rate}",
        f"--seconds={PATH_SECONDS}", f"--id_prefix={name}",
        "--direct_version=v1", f"--output={cluster.path(name + '.result')}",
        *[f"--{key}={value}" for key, value in flags.items()])
    result = cluster.finish_load(name, process)
    if result["outcomes"] != {"ok": result["calls"]}:
        print(f"  {name}: some calls failed: {result['outcomes']}")
    return result


def zero_latency_cluster(network):
    """The deployment sagarmatha; its backend servers respond immediately."""
    cluster = Cluster("deploy/sagarmatha", network)
    cluster.spec["backend"].update(latency_ms=0, slots=1000)
    return cluster


def measure_path():
    """Latency and CPU time of a call directly to a backend server, through the
    minimal forwarder, through one node (the target is on its host), and through
    two nodes. Medians of several runs."""
    rows = []
    with zero_latency_cluster(41) as cluster:
        cluster.start()
        cluster.apply_first_table()
        target, other = cluster.hosts[0], cluster.hosts[1]
        forwarder = cluster.run(
            "forwarder", cluster.program("forwarder"),
            f"--address={target.address}:7200",
            f"--upstream={target.at(BACKEND_PORT)}")
        time.sleep(3.5)
        ways = {
            "direct": (target.at(BACKEND_PORT), []),
            "forwarder": (f"{target.address}:7200", [forwarder]),
            "one node": (target.at(CALLER_PORT), [target.node]),
            "two nodes": (other.at(CALLER_PORT), [other.node, target.node]),
        }
        for rate in PATH_RATES:
            for way, (address, processes) in ways.items():
                p50, p99, cpu = [], [], []
                for repeat in range(REPEATS):
                    before = sum(cpu_seconds(p) for p in processes)
                    result = load_on(cluster, f"{way[:3]}-{rate}-{repeat}",
                                     address, rate)
                    used = sum(cpu_seconds(p) for p in processes) - before
                    p50.append(result["p50_ms"])
                    p99.append(result["p99_ms"])
                    cpu.append(used / result["calls"] * 1e6)
                rows.append({
                    "way": way, "calls_per_s": rate,
                    "p50_ms": round(statistics.median(p50), 3),
                    "p99_ms": round(statistics.median(p99), 3),
                    "cpu_us_per_call": round(statistics.median(cpu), 1)})
    for rate in PATH_RATES:
        at = {row["way"]: row for row in rows if row["calls_per_s"] == rate}
        for row in at.values():
            row["added_p50_ms"] = round(
                row["p50_ms"] - at["direct"]["p50_ms"], 3)
            row["added_p99_ms"] = round(
                row["p99_ms"] - at["direct"]["p99_ms"], 3)
            row["cpu_ratio"] = round(
                row["cpu_us_per_call"] / at["forwarder"]["cpu_us_per_call"], 2)
    return rows


def control_counts(cluster):
    """Control bytes, datagrams, platform calls and CPU seconds, summed over all
    nodes since their start."""
    total = {"bytes": 0, "datagrams": 0, "platform_calls": 0, "cpu": 0}
    for host in cluster.hosts:
        metrics = cluster.metrics(host)
        total["bytes"] += metrics["kumquatmoor_control_sent_bytes_total"]
        total["datagrams"] += metrics["kumquatmoor_control_sent_total"]
        total["platform_calls"] += sum(
            value for name, value in metrics.items()
            if name.startswith("kumquatmoor_platform_calls_total")
            and "failed" not in name)
        total["cpu"] += cpu_seconds(host.node)
    return total


# Control traffic and CPU use per second while `action` runs, measured over at
# least `seconds`.
def control_rates(cluster, seconds, action=None):
    before, begin = control_counts(cluster), time.monotonic()
    if action:
        action()
    time.sleep(max(0, seconds - (time.monotonic() - begin)))
    after, passed = control_counts(cluster), time.monotonic() - begin
    nodes = len(cluster.hosts)
    delta = {key: after[key] - before[key] for key in before}
    return {
        "seconds": round(passed, 1),
        "bytes_per_node_s": round(delta["bytes"] / nodes / passed, 1),
        "datagrams_per_node_s": round(delta["datagrams"] / nodes / passed, 2),
        "platform_calls_per_s": round(delta["platform_calls"] / passed, 2),
        "core_percent_per_node": round(
            100 * delta["cpu"] / nodes / passed, 3)}


def change_rows(cluster, changes, pause_s):
    """Edits one row repeatedly. Returns the convergence time of each edit in
    milliseconds."""
    times = []
    for number in range(changes):
        answer = cluster.ctl_json("table", "edit", "media", "v1",
                                  f"--max_rate={1000 + number}")
        times.append(cluster.convergence_ms(answer))
        time.sleep(pause_s)
    return times


def measure_distribution():
    with zero_latency_cluster(42) as cluster:
        cluster.start()
        cluster.apply_first_table()
        time.sleep(3)
        idle = control_rates(cluster, IDLE_SECONDS)
        times = []
        changing = control_rates(
            cluster, CHANGE_SECONDS,
            lambda: times.extend(change_rows(cluster, CHANGES, 0.3)))
        resident = [resident_mb(host.node) for host in cluster.hosts]
    times.sort()
    return {
        "nodes": len(cluster.hosts), "changes": CHANGES,
        "convergence_ms": {"median": statistics.median(times),
                           "worst": times[-1], "all": times},
        "idle": idle, "changing": changing,
        "resident_mb": round(max(resident), 1)}


def measure_move():
    """The share of a good version over time, as points (seconds, percent)."""
    points = []
    with Cluster("deploy/sagarmatha", 43) as cluster:
        cluster.start()
        cluster.apply_first_table()
        cluster.start_version("bookings", "v2", 8001)
        cluster.wait_targets(20)
        load = cluster.start_load("calls", ["bookings:GET:/check"], 200, 40)
        cluster.ctl("table", "edit", "bookings", "v2", "--weight=100",
                    "--move_by=+20s")
        begin = time.monotonic()
        while time.monotonic() - begin < 30:
            status = cluster.service_status("bookings")
            stages = status["stage_permille"].values()
            points.append((round(time.monotonic() - begin, 2),
                           sum(stages) / 10 / len(cluster.spec["zones"])))
            if status["outcome"] == "done":
                break
            time.sleep(0.2)
        load.terminate()
        cluster.finish_load("calls", load)
    return {"deadline_s": 20, "points": points,
            "outcome": status["outcome"]}


def svg_plot(path, title, points, x_label, y_label):
    """Writes a line plot as SVG; each axis is labelled with its maximum."""
    width, height, margin = 640, 320, 50
    x_end = max(x for x, _ in points) or 1
    y_end = max(y for _, y in points) or 1
    pixels = [(margin + x / x_end * (width - 2 * margin),
              height - margin - y / y_end * (height - 2 * margin))
             for x, y in points]
    line = " ".join(f"{x:.1f},{y:.1f}" for x, y in pixels)
    with open(path, "w") as file:
        file.write(
            f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
            f'height="{height}" font-family="sans-serif" font-size="12">'
            f'<rect width="100%" height="100%" fill="white"/>'
            f'<text x="{margin}" y="25" font-size="15">{title}</text>'
            f'<path d="M{margin},{margin}V{height - margin}H{width - margin}"'
            f' fill="none" stroke="black"/>'
            f'<polyline points="{line}" fill="none" stroke="#1f6fb2" '
            f'stroke-width="2"/>'
            f'<text x="{width - margin}" y="{height - margin + 18}" '
            f'text-anchor="end">{x_end:g} {x_label}</text>'
            f'<text x="{margin - 5}" y="{margin - 5}">{y_end:g} {y_label}'
            f'</text></svg>\n')


def print_path(rows):
    print(f"{'way':<10} {'calls/s':>8} {'p50 ms':>8} {'p99 ms':>8} "
          f"{'+p50':>7} {'+p99':>7} {'us/call':>8} {'ratio':>6}")
    for row in rows:
        print(f"{row['way']:<10} {row['calls_per_s']:>8} {row['p50_ms']:>8} "
              f"{row['p99_ms']:>8} {row['added_p50_ms']:>7} "
              f"{row['added_p99_ms']:>7} {row['cpu_us_per_call']:>8} "
              f"{row['cpu_ratio']:>6}")


def print_distribution(result):
    times = result["convergence_ms"]
    print(f"{result['nodes']} nodes: convergence median "
          f"{times['median']:.0f} ms, worst {times['worst']:.0f} ms over "
          f"{result['changes']} changes; resident {result['resident_mb']} MB")
    for name in ("idle", "changing"):
        print(f"  {name}: {result[name]}")


def main():
    os.makedirs(OUTPUT, exist_ok=True)
    names = sys.argv[1:] or ["path", "distribution", "move"]
    results = {}
    if "path" in names:
        results["path"] = measure_path()
        print_path(results["path"])
    if "distribution" in names:
        results["distribution"] = measure_distribution()
        print_distribution(results["distribution"])
        times = results["distribution"]["convergence_ms"]["all"]
        svg_plot(os.path.join(OUTPUT, "convergence.svg"),
                 "Convergence of each change, sorted",
                 list(enumerate(times, 1)), "changes", "ms")
    if "move" in names:
        results["move"] = measure_move()
        print(f"move: {results['move']['outcome']}, last point "
              f"{results['move']['points'][-1]}")
        svg_plot(os.path.join(OUTPUT, "move.svg"),
                 "Share moved to a good version, deadline 20 s",
                 results["move"]["points"], "s", "%")
    with open(os.path.join(OUTPUT, "bench.json"), "w") as file:
        json.dump(results, file, indent=2)


if __name__ == "__main__":
    main()
