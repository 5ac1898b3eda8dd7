"""Measures how long a target gets no request after its node was killed and
started again, under load: of one node, of one node while the platform is
suspended, and of all nodes at once. Prints the seconds from the start of the
process until its first local run.

    KUMQUATMOOR_BUILD=build python3 tools/restart_times.py --rounds 5
"""

import argparse
import signal
import statistics
import time

from cluster import Cluster

NETWORK = 33
LIMIT_S = 20
SETTLE_S = 2
# Only these services are called.
SERVICES = ("bookings", "listings")
MIX = [f"{service}:GET:{path}" for service, path in
       zip(SERVICES, ("/check", "/search"))]


def local_runs(cluster, host):
    return sum(value for name, value in cluster.metrics(host).items()
               if name.startswith("kumquatmoor_local_runs_total"))


def first_run_times(cluster, hosts, started):
    """Seconds from `started` until each host's first local run."""
    times = {}
    while len(times) < len(hosts):
        elapsed = time.monotonic() - started
        if elapsed > LIMIT_S:
            raise TimeoutError(f"no run at {len(hosts) - len(times)} nodes")
        for host in hosts:
            if host.name not in times and local_runs(cluster, host) > 0:
                times[host.name] = time.monotonic() - started
        time.sleep(0.01)
    return list(times.values())


def restart(cluster, hosts):
    """Kills the nodes, starts them again, and returns the times of those whose
    targets are called."""
    for host in hosts:
        host.node.kill()
    for host in hosts:
        host.node.wait()
    started = time.monotonic()
    for host in hosts:
        cluster.start_node(host)
    return first_run_times(
        cluster, [host for host in hosts if host.name.startswith(SERVICES)],
        started)


def report(name, times):
    print(f"{name}: {len(times)} starts, seconds until the first run: "
          f"median {statistics.median(times):.2f}, "
          f"from {min(times):.2f} to {max(times):.2f}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    with Cluster("deploy/sagarmatha", NETWORK) as cluster:
        cluster.start()
        cluster.apply_first_table()
        load = cluster.start_load("restarts", MIX, 400, 600)
        time.sleep(SETTLE_S)
        called = [host for host in cluster.hosts
                  if host.name.startswith(SERVICES)]
        one, without_platform, everything = [], [], []
        for i in range(rounds):
            one += restart(cluster, [called[i % len(called)]])
            time.sleep(SETTLE_S)
        for i in range(rounds):
            cluster.platform.send_signal(signal.SIGSTOP)
            without_platform += restart(cluster, [called[i % len(called)]])
            cluster.platform.send_signal(signal.SIGCONT)
            time.sleep(SETTLE_S)
        for _ in range(rounds):
            everything += restart(cluster, cluster.hosts)
            time.sleep(SETTLE_S)
        load.send_signal(signal.SIGTERM)
        load.wait()
    report("one node", one)
    report("one node, the platform suspended", without_platform)
    report("all nodes", everything)


if __name__ == "__main__":
    main()
