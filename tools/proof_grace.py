"""Proofs of planned stops of single nodes; see tools/grace.py."""

import os
import signal
import socket
import sys
import time

from cluster import CALLER_PORT, Cluster
from grace import Plan, play

GRACE_S = 6
# Time left when the process has ended.
MARGIN_S = 0.1
BUSY_PROCESSES = 9
BUSY = "import time\nend = time.time() + 30\nwhile time.time() < end: pass"


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def small_cluster(network):
    """Four nodes in one zone, one of them beside the backend server."""
    cluster = Cluster("deploy/sagarmatha", network,
                      keep_logs="--keep_logs" in sys.argv)
    zone = cluster.spec["zones"][0]
    cluster.spec["zones"] = [zone]
    cluster.spec["hosts"] = [host for host in cluster.spec["hosts"]
                             if host["zone"] == zone]
    cluster.spec["backend"] = {"latency_ms": 0, "slots": 3000}
    cluster.spec.setdefault("node_settings", {})["shutdown_grace_s"] = GRACE_S
    cluster.place_hosts()
    return cluster


def check_report(report):
    print(report.text())
    check(report.exit_s < GRACE_S - MARGIN_S, "the node did not end in its grace")
    for name in ("cut", "false_refusals", "broken_off"):
        found = getattr(report, name)
        check(not found, f"{name}: {len(found)} requests, such as "
                         f"{found[:1]}")


def start(cluster):
    """Starts the cluster, with a second and a third backend server of the
    service that is called. Returns the hosts by name."""
    cluster.start()
    by_name = {host.name: host for host in cluster.hosts}
    for name in ("media-1", "reports-1"):
        cluster.start_backend(by_name[name], "bookings", "v1", 8001)
    cluster.wait_targets(6)
    cluster.apply_first_table()
    return by_name


def grace_ends_every_request():
    """A node is stopped while callers send requests of many kinds throughout
    its grace. Each one that was taken gets a complete response, and none that
    was refused has run."""
    with small_cluster(35) as cluster:
        by_name = start(cluster)
        check_report(play(cluster, Plan(node=by_name["listings-1"],
                                        grace_s=GRACE_S)))


def grace_of_both_hops():
    """The node that callers use and the node beside one of the three backend
    servers are stopped at the same time."""
    with small_cluster(36) as cluster:
        by_name = start(cluster)
        check_report(play(cluster, Plan(node=by_name["listings-1"],
                                        grace_s=GRACE_S,
                                        also=[by_name["bookings-1"].node])))


def grace_of_a_slow_node():
    """A node that is stopped shares its core with nine busy processes."""
    with small_cluster(37) as cluster:
        by_name = start(cluster)
        node = by_name["listings-1"]
        core = {max(os.sched_getaffinity(0))}
        for task in os.listdir(f"/proc/{node.node.pid}/task"):
            os.sched_setaffinity(int(task), core)
        for _ in range(BUSY_PROCESSES):
            busy = cluster.run("busy", sys.executable, "-c", BUSY)
            os.sched_setaffinity(busy.pid, core)
        check_report(play(cluster, Plan(node=node, grace_s=GRACE_S,
                                        step_s=0.3)))


def early_signals_are_kept():
    """SIGTERM or SIGHUP arrives as soon as a node accepts connections, while it
    still starts. SIGTERM drains it; SIGHUP does not end it."""
    with small_cluster(38) as cluster:
        cluster.start_platform()
        host = cluster.hosts[0]
        for first in (signal.SIGTERM, signal.SIGHUP):
            for _ in range(5):
                cluster.start_node(host)
                cluster.wait(lambda: accepts(host), "the node to listen",
                             pause=0)
                host.node.send_signal(first)
                time.sleep(1 if first == signal.SIGHUP else 0)
                host.node.send_signal(signal.SIGTERM)
                code = host.node.wait(timeout=GRACE_S)
                check(code == 0, f"exit code {code} after signal {first}")


def first_requests_are_not_denied():
    """A node that starts while the platform is down responds with 503 from the
    first connection on, whatever the size of a request."""
    line = b"%s /bookings/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n"
    large_head = line % b"GET" + b"Pad: %s\r\n" % (b"p" * 20_000)
    requests = {
        "a small request": line % b"GET" + b"\r\n",
        "a large head": large_head + b"\r\n",
        "a large body": line % b"POST" + b"Content-Length: 268435457\r\n\r\n",
    }
    with small_cluster(39) as cluster:
        host = cluster.hosts[0]
        for _ in range(3):
            cluster.start_node(host)
            cluster.wait(lambda: accepts(host), "the node to listen", pause=0)
            for name, request in requests.items():
                line_of_response = status_line(host, request)
                check(b" 503 " in line_of_response,
                      f"{name}: {line_of_response}")
            host.node.send_signal(signal.SIGTERM)
            host.node.wait(timeout=GRACE_S)


def status_line(host, request):
    """The first line of the response. The node may close the connection while
    the request is still sent."""
    with socket.create_connection((host.address, CALLER_PORT), 5) as link:
        try:
            link.sendall(request)
        except OSError:
            pass
        return link.makefile("rb").readline()


def early_signals_of_a_first_process():
    """SIGTERM arrives before a node catches it, in a process that ignores it
    until then, as process 1 of a namespace does. The node keeps it."""
    term = 1 << (signal.SIGTERM - 1)
    early = 0
    with small_cluster(40) as cluster:
        cluster.spec["node_settings"]["shutdown_grace_s"] = 2
        cluster.start_platform()
        host = cluster.hosts[0]
        for _ in range(5):
            before = signal.signal(signal.SIGTERM, signal.SIG_IGN)
            cluster.start_node(host)
            signal.signal(signal.SIGTERM, before)
            while not signal_masks(host)["SigBlk"] & term:
                if signal_masks(host)["SigCgt"] & term:
                    break
            if not signal_masks(host)["SigCgt"] & term:
                early += 1
            host.node.send_signal(signal.SIGTERM)
            code = host.node.wait(timeout=GRACE_S)
            check(code == 0, f"exit code {code}")
    check(early > 0, "the signal is not kept before it is caught")


def signal_masks(host):
    with open(f"/proc/{host.node.pid}/status") as status:
        fields = dict(line.split(":", 1) for line in status)
    return {name: int(fields[name], 16) for name in ("SigBlk", "SigCgt")}


def accepts(host):
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as link:
        return link.connect_ex((host.address, CALLER_PORT)) == 0


def grace_is_bounded():
    """Nodes that cannot end are stopped at the same time. Each one ends before
    its grace does: one has an incomplete request and a drain that is set too
    long, one is resumed after its grace, one has a log that nobody reads. The
    store hangs all the time."""
    grace_s = 2
    with small_cluster(39) as cluster:
        cluster.spec["node_settings"]["shutdown_grace_s"] = grace_s
        cluster.spec["node_settings"]["drain_timeout_ms"] = 20000
        cluster.start_platform()
        hosts = cluster.hosts[:3]
        for host in hosts[:2]:
            cluster.start_node(host)
        unread = start_with_unread_log(cluster, hosts[2])
        for host in hosts:
            cluster.wait(lambda: accepts(host), "the node to listen")
        cluster.platform.send_signal(signal.SIGSTOP)
        links = [incomplete_request(host) for host in hosts]
        time.sleep(0.5)
        begin = time.monotonic()
        for host in hosts:
            host.node.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        hosts[1].node.send_signal(signal.SIGSTOP)
        ends = {}
        while time.monotonic() < begin + grace_s + 1:
            now = time.monotonic() - begin
            if now > grace_s + 0.5:
                hosts[1].node.send_signal(signal.SIGCONT)
            for host in hosts:
                if host.node.poll() is not None:
                    ends.setdefault(host.name, now)
            time.sleep(0.01)
        print({name: round(end, 2) for name, end in ends.items()})
        for host in (hosts[0], hosts[2]):
            check(ends.get(host.name, grace_s) < grace_s,
                  f"{host.name} did not end in its grace")
            check(host.node.returncode == 3,
                  f"{host.name}: exit code {host.node.returncode}")
        check(ends.get(hosts[1].name, 99) < grace_s + 0.9,
              "a node that was resumed did not end at once")
        with open(cluster.path(f"{hosts[0].name}.log")) as log:
            reports = [line for line in log if "event=grace_ends" in line]
        print("".join(reports))
        check(len(reports) == 1, f"{len(reports)} reports")
        for part in ("phase=draining", "proxy_thread=runs", "callers=1",
                     "caller/r1/reading", "store_calls="):
            check(part in reports[0], f"{part} is not reported")
        for descriptor in [*unread, *[link.detach() for link in links]]:
            os.close(descriptor)


def start_with_unread_log(cluster, host):
    """Starts the node with a full pipe as its log."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b"." * 4096)
    except BlockingIOError:
        os.set_blocking(writer, True)
    cluster.spec["node_settings"]["log_file"] = f"/proc/self/fd/{writer}"
    os.set_inheritable(writer, True)
    cluster.start_node(host, pass_fds=[writer])
    return reader, writer


def incomplete_request(host):
    link = socket.create_connection((host.address, CALLER_PORT))
    link.sendall(b"PUT /bookings/1 HTTP/1.1\r\nHost: h\r\n"
                 b"Kumquatmoor-Request-Id: r1\r\n"
                 b"Content-Length: 1000\r\n\r\n0123456789")
    return link
