"""Proofs: end-to-end tests on real processes. Each proof checks one guarantee
while it injects faults (killed and suspended processes, network partitions,
platform outages, concurrent operators).

    proofs.py NAME    runs one proof
    proofs.py --list  lists them

docs/PROOFS.md lists the guarantee that each proof checks.
"""

import concurrent.futures
import json
import signal
import socket
import sys
import threading
import time
import urllib.error
import urllib.request

from cluster import (BACKEND_PORT, CALLER_PORT, CONTROL_PORT, DATA_PORT,
                     Cluster, post, stop_gracefully)
from proof_grace import (early_signals_are_kept,
                         early_signals_of_a_first_process,
                         first_requests_are_not_denied,
                         grace_ends_every_request, grace_is_bounded,
                         grace_of_a_slow_node, grace_of_both_hops)

SERVICES = ["bookings", "listings", "media", "reports"]
# Mixes of requests: non-idempotent writes and reads, and writes only.
MIXED = ["bookings:POST:/reserve", "bookings:POST:/pay", "bookings:GET:/check",
         "listings:GET:/search"]
WRITES = ["bookings:POST:/reserve", "bookings:POST:/pay"]
# Bounds for the requirements "within seconds" (a batch is in force everywhere)
# and "a few seconds" (a drained backend server gets no new requests).
CONVERGENCE_LIMIT_S = 3
DRAIN_LIMIT_S = 2
RECALL_LIMIT_S = 3
# Time after the third crash by a request within which all nodes must know it.
SPREAD_LIMIT_S = 3


def check(condition, message):
    if not condition:
        raise AssertionError(message)


def rows(**bookings):
    """Rows of the whole table. bookings has the weights given (by version) and
    the other columns given; every other service is on v1."""
    table = [{"service": service, "version": "v1", "weight": 100}
             for service in SERVICES if service != "bookings"]
    weights = bookings.pop("weights", {"v1": 100})
    return table + [{"service": "bookings", "version": version,
                     "weight": weight, **bookings}
                    for version, weight in weights.items()]


def sagarmatha(network):
    return Cluster("deploy/sagarmatha", network,
                   keep_logs="--keep_logs" in sys.argv)


def verdict_of_forwarded(host, service, version):
    """Verdict of a node on a request sent to its data port, as another node
    forwards it."""
    request = urllib.request.Request(
        f"http://{host.at(DATA_PORT)}/{service}/reserve", b"{}", method="POST",
        headers={"Kumquatmoor-Service": service,
                 "Kumquatmoor-Version": version})
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.headers["Kumquatmoor-Verdict"]
    except urllib.error.HTTPError as refusal:
        return refusal.headers["Kumquatmoor-Verdict"]


def check_run_counts(cluster):
    """Checks that each non-idempotent request ran at most once, and not at all
    if its response was NotRun."""
    double_runs, false_not_runs = cluster.double_runs(), cluster.false_not_runs()
    check(double_runs == 0, f"{double_runs} requests ran twice")
    check(false_not_runs == 0,
          f"{false_not_runs} requests ran although answered NotRun")
    check(cluster.runs(), "no non-idempotent request ran")


def revisions_never_fall():
    """The platform is restored from an old backup, then suspended; nodes are
    killed and restarted. No node may put an older revision in force."""
    with sagarmatha(21) as cluster:
        cluster.start()
        cluster.apply_first_table()
        cluster.platform_test({"save": True})
        for rate in (1000, 2000):
            answer = cluster.apply(rows(max_rate=rate))
            cluster.wait_in_force(answer["revision"])
        newest_revision = answer["revision"]
        cluster.platform_test({"restore": True})
        cluster.platform_test({"remove_prefix": "seeds/"})
        refused = cluster.ctl("table", "edit", "media", "v1", "--max_rate=5")
        check(refused.returncode == 1 and "old copy" in refused.stderr,
              f"a write to the old backup: {refused.stdout}{refused.stderr}")
        victims = cluster.hosts[:6]
        for host in victims:
            host.node.kill()
        for host in victims:
            host.node.wait()
            cluster.start_node(host)
        lowest = newest_revision
        end = time.monotonic() + 6
        while time.monotonic() < end:
            for host in cluster.hosts:
                metrics = cluster.metrics(host)
                if metrics.get("kumquatmoor_ready") == 1:
                    lowest = min(lowest, metrics["kumquatmoor_revision"])
        check(lowest == newest_revision,
              f"a ready node reported the older revision {lowest:.0f}")
        cluster.platform.send_signal(signal.SIGSTOP)
        for host in victims[:2]:
            host.node.kill()
            host.node.wait()
            cluster.start_node(host)
        cluster.wait(cluster.all_joined, "nodes to join without the platform")
        check(all(cluster.revision(host) == newest_revision
                  for host in cluster.hosts),
              "a node that joined without the platform is behind")


def routes_resolve():
    """The table gives weight to a version that has no target yet, and backend
    servers are killed and started elsewhere. Requests only reach live
    targets."""
    with sagarmatha(22) as cluster:
        cluster.start()
        cluster.apply_first_table()
        load = cluster.start_load("mixed", MIXED, 150, 12)
        # v2 has a row but no target yet: no request may be sent to it.
        answer = cluster.apply(rows(weights={"v1": 50, "v2": 50}))
        cluster.wait_in_force(answer["revision"])
        time.sleep(1)
        text = cluster.ctl("explain", "bookings").stdout
        check("v2: gets no request" in text, text)
        status = cluster.service_status("bookings")
        check("no live target" in status["reason"], status["reason"])
        host = next(h for h in cluster.hosts if h.name == "bookings-1")
        host.backends[("bookings", "v1")].kill()
        cluster.wait_targets(15)
        cluster.start_backend(host, "bookings", "v2", 8001)
        cluster.wait_targets(16)
        time.sleep(2)
        load.send_signal(signal.SIGTERM)
        result = cluster.finish_load("mixed", load)
        check(result["wrong_answers"] == 0, str(result))
        check(result["outcomes"].get("ok", 0) > 0.97 * result["calls"],
              str(result))
        unknown = [call for call in cluster.calls("mixed")
                   if call[4] not in ("v1", "v2", "-")]
        check(not unknown, f"answers from unexpected versions: {unknown[:3]}")
        check_run_counts(cluster)


def damaged_batch_is_refused_whole():
    """The head of the platform names a batch in which one service is invalid.
    No node applies any part of it, and the status warns."""
    with sagarmatha(23) as cluster:
        cluster.start()
        answer = cluster.apply_first_table()
        batch = cluster.ctl_json("table", "get")
        batch["revision"] = "2"
        # The first change is valid by itself. The second one is not: the
        # weights of its service no longer add up to 100.
        batch["services"][0]["rows"][0]["max_rate"] = 7
        batch["services"][1]["rows"][0]["weight"] = 55
        cluster.platform_test({"put": "batch/bad", "value": json.dumps(batch)})
        head = {"entries": [
            {"revision": 2, "key": "batch/bad", "write_id": "bad"}]}
        cluster.platform_test({"put": "head", "value": json.dumps(head)})
        time.sleep(3)
        check(all(cluster.revision(host) == answer["revision"]
                  for host in cluster.hosts), "an invalid batch is in force")
        warnings = " ".join(warning for host in cluster.hosts
                            for warning in cluster.status(
                                nodes=[host.at(CONTROL_PORT)])["warnings"])
        check("refused batch 2" in warnings, f"no node warns: {warnings}")


def bad_version_is_taken_back():
    """One route of the new version fails while the platform is suspended, a
    zone is partitioned and nodes that may run the canary analyzer are killed.
    The version is recalled in every zone, for good."""
    with sagarmatha(24) as cluster:
        cluster.start()
        cluster.apply_first_table()
        cluster.start_version("bookings", "v2", 8001, fault="errors",
                              fault_route="/pay")
        cluster.wait_targets(20)
        load = cluster.start_load("mixed", MIXED, 240, 60)
        answer = cluster.apply(rows(weights={"v1": 0, "v2": 100},
                                    move_by="+12s"))
        cluster.wait_in_force(answer["revision"])
        cluster.platform.send_signal(signal.SIGSTOP)
        cluster.cut_zone("lakeside-4")
        # If one of these nodes is the canary analyzer, another node takes over.
        for name in ("media-1", "reports-2"):
            host = next(h for h in cluster.hosts if h.name == name)
            host.node.kill()
        connected = [host for host in cluster.live_hosts()
                     if host.zone != "lakeside-4"]
        partitioned = [host for host in cluster.live_hosts()
                       if host.zone == "lakeside-4"]
        for group in (connected, partitioned):
            cluster.wait(
                lambda group=group: cluster.service_status(
                    "bookings", nodes=[group[0].at(CONTROL_PORT)])["outcome"]
                == "taken back", f"the recall in {group[0].zone}", 25, 0.2)
        recalled = time.time()
        time.sleep(RECALL_LIMIT_S + 3)
        load.send_signal(signal.SIGTERM)
        result = cluster.finish_load("mixed", load)
        late = [t for host in cluster.hosts if host.name.startswith("bookings")
                for t in cluster.run_times_ms(host, "bookings", "v2")
                if t > (recalled + RECALL_LIMIT_S) * 1000]
        check(not late, f"{len(late)} runs on v2 after its recall")
        answered_by_bad = sum(1 for call in cluster.calls("mixed")
                              if call[4] == "v2" and call[2] == "POST")
        bookings = sum(1 for call in cluster.calls("mixed")
                       if call[1] == "bookings" and call[2] == "POST")
        print(f"{answered_by_bad} of {bookings} bookings were answered by the "
              "bad version")
        check(answered_by_bad <= 0.05 * bookings,
              "the bad version got more than 5% of the bookings")
        check(result["wrong_answers"] == 0, str(result))
        # The recall stays in force at a restarted node and in the zone that was
        # partitioned.
        cluster.heal()
        host = next(h for h in cluster.hosts if h.name == "media-1")
        host.node.wait()
        cluster.start_node(host)
        cluster.wait(lambda: cluster.metrics(host).get("kumquatmoor_ready")
                     == 1, "media-1 to join")
        for host in cluster.live_hosts():
            status = cluster.service_status("bookings",
                                            nodes=[host.at(CONTROL_PORT)])
            check(status["outcome"] == "taken back", f"{host.name}: {status}")


def answers_are_whole_and_own():
    """Backend servers send responses to other requests, truncated responses
    and none at all. No caller gets a response that is incomplete or belongs to
    another request."""
    with sagarmatha(25) as cluster:
        cluster.start()
        cluster.apply_first_table()
        faulty = {"bookings-1": "crossed", "bookings-2": "truncate",
                  "bookings-3": "hang"}
        for host in cluster.hosts:
            if host.name in faulty:
                post(host.at(BACKEND_PORT), "/__test",
                     {"fault": faulty[host.name], "fault_rate": "0.3"})
        mix = MIXED + ["bookings:GET:/photos?size=300000",
                       "media:GET:/pack?size=5000000"]
        load = cluster.start_load("mixed", mix, 100, 8, deadline_ms=600)
        result = cluster.finish_load("mixed", load)
        print(result)
        check(result["wrong_answers"] == 0, str(result))
        check(result["outcomes"].get("ok", 0) > 0.5 * result["calls"],
              str(result))
        failed = result["calls"] - result["outcomes"].get("ok", 0)
        check(failed > 0, "no call failed, so the faults had no effect")
        check_run_counts(cluster)


def resident_mb(process):
    with open(f"/proc/{process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def large_bodies_stream():
    """Downloads and uploads of 20 MB pass through the nodes, whose memory stays
    bounded."""
    with sagarmatha(32) as cluster:
        cluster.start()
        cluster.apply_first_table()
        before = max(resident_mb(host.node) for host in cluster.hosts)
        down = cluster.start_load("down", ["media:GET:/pack?size=20000000"], 4,
                                  3, deadline_ms=20000)
        result = cluster.finish_load("down", down)
        check(result["outcomes"] == {"ok": 12}, f"down: {result}")
        up = cluster.start_load("up", ["media:POST:/pack"], 4, 3,
                                deadline_ms=20000, body_bytes=20000000)
        result = cluster.finish_load("up", up)
        check(result["outcomes"] == {"ok": 12}, f"up: {result}")
        after = max(resident_mb(host.node) for host in cluster.hosts)
        print(f"resident before {before:.0f} MB, after {after:.0f} MB at most")
        check(after - before < 20,
              f"resident memory grew by {after - before:.0f} MB")
        check_run_counts(cluster)


def at_most_one_run():
    """Nodes and backend servers are killed, suspended and partitioned during
    non-idempotent requests. Each request runs at most once."""
    with sagarmatha(26) as cluster:
        cluster.start()
        cluster.apply_first_table()
        load = cluster.start_load("writes", WRITES, 250, 16, deadline_ms=800)
        by_name = {host.name: host for host in cluster.hosts}
        time.sleep(1)
        by_name["bookings-1"].node.kill()
        by_name["bookings-2"].backends[("bookings", "v1")].kill()
        time.sleep(1)
        by_name["bookings-3"].node.send_signal(signal.SIGSTOP)
        time.sleep(2)
        by_name["bookings-3"].node.send_signal(signal.SIGCONT)
        frozen = by_name["bookings-4"].backends[("bookings", "v1")]
        frozen.send_signal(signal.SIGSTOP)
        time.sleep(1)
        frozen.send_signal(signal.SIGCONT)
        cluster.cut_zone("lakeside-3")
        time.sleep(2)
        cluster.heal()
        by_name["bookings-1"].node.wait()
        cluster.start_node(by_name["bookings-1"])
        cluster.start_backend(by_name["bookings-2"], "bookings", "v1")
        result = cluster.finish_load("writes", load)
        print(result)
        check(result["wrong_answers"] == 0, str(result))
        check(result["outcomes"].get("MayHaveRun", 0) > 0,
              "no call ended as MayHaveRun, so the faults had no effect")
        check_run_counts(cluster)
        calm = cluster.start_load("calm", WRITES, 100, 2)
        after = cluster.finish_load("calm", calm)
        check(after["outcomes"] == {"ok": after["calls"]}, str(after))


def silent_node_keeps_its_work():
    """Nodes are suspended while their backend servers run non-idempotent
    requests of others, for less and for more than the time after which members
    suspect them. Each of these requests runs once, and its caller receives the
    response once the node runs again."""
    with sagarmatha(34) as cluster:
        cluster.spec["backend"]["latency_ms"] = 1500
        cluster.spec["backend"]["slots"] = 60
        cluster.start()
        cluster.apply_first_table()
        by_name = {host.name: host for host in cluster.hosts}
        others = [host for host in cluster.hosts
                  if not host.name.startswith("bookings")]
        for silence_s in (1, 5):
            load = cluster.start_load(f"writes-{silence_s}", WRITES, 60, 2,
                                      others, deadline_ms=12000)
            time.sleep(1.5)
            silent = by_name["bookings-3"].node
            silent.send_signal(signal.SIGSTOP)
            time.sleep(silence_s)
            silent.send_signal(signal.SIGCONT)
            result = cluster.finish_load(f"writes-{silence_s}", load)
            print(result)
            check(result["outcomes"] == {"ok": result["calls"]}, str(result))
        check_run_counts(cluster)


def close_before_answer(address, calls):
    """Sends requests and closes each connection before the response
    arrives."""
    for number in range(calls):
        with socket.create_connection(address.split(":"), 2) as connection:
            connection.sendall(
                b"POST /reserve HTTP/1.1\r\nHost: x\r\n"
                b"Kumquatmoor-Service: bookings\r\n"
                b"Kumquatmoor-Request-Id: left-" + address.encode() +
                b"-%d\r\nContent-Length: 0\r\n\r\n" % number)
            time.sleep(0.03)


def callers_that_leave_free_their_slots():
    """Callers close their connections while slow requests run, both at the
    target's own node and at another node. The slots become free again."""
    with sagarmatha(33) as cluster:
        cluster.start()
        cluster.apply_first_table()
        by_name = {host.name: host for host in cluster.hosts}
        targets = [host for host in cluster.hosts
                   if host.name.startswith("bookings")]
        for host in targets:
            post(host.at(BACKEND_PORT), "/__test", {"latency_ms": "300"})
        # Each call sends more requests than the zone's target has slots.
        close_before_answer(by_name["bookings-1"].at(CALLER_PORT), 25)
        close_before_answer(by_name["listings-1"].at(CALLER_PORT), 25)
        for host in targets:
            post(host.at(BACKEND_PORT), "/__test", {"latency_ms": "5"})
        time.sleep(1)
        load = cluster.start_load("after", WRITES, 200, 3)
        result = cluster.finish_load("after", load)
        check(result["outcomes"] == {"ok": result["calls"]}, str(result))
        served = {host.name: len(cluster.run_times_ms(host, "bookings", "v1"))
                  for host in targets}
        check(min(served.values()) > 60,
              f"a target served too few requests: {served}")
        check_run_counts(cluster)


def restart_crashed_backends(cluster, service, crash_times, stopping):
    """Starts backend servers of `service` again 1 s after they end, and adds
    the time of each end to `crash_times`, until `stopping` is set."""
    hosts = [host for host in cluster.hosts if (service, "v1") in host.backends]
    ended = {}
    while not stopping.wait(0.01):
        for host in hosts:
            if host.backends[(service, "v1")].poll() is None:
                continue
            if host not in ended:
                ended[host] = time.monotonic()
                crash_times.append(ended[host])
            elif time.monotonic() > ended[host] + 1:
                del ended[host]
                cluster.start_backend(host, service, "v1")


def call_status(host, path, method="GET"):
    """The status of a call through the caller address of a host."""
    request = urllib.request.Request(f"http://{host.at(CALLER_PORT)}{path}",
                                     method=method)
    try:
        with urllib.request.urlopen(request, timeout=3) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code


def crashing_request_is_stopped():
    """A request that ends each backend server that runs it is repeated through
    every node. After three crashes at most three more follow within the bounds
    of the users, other requests are served, and an operator can clear it."""
    with sagarmatha(35) as cluster:
        cluster.spec["backend"] = {**cluster.spec.get("backend", {}),
                                   "fault": "crash", "fault_route": "/crash"}
        cluster.start()
        cluster.apply_first_table()
        crashes, stopping = [], threading.Event()
        supervisor = threading.Thread(
            target=restart_crashed_backends,
            args=(cluster, "bookings", crashes, stopping))
        supervisor.start()
        try:
            sends = 0
            end = time.monotonic() + 8
            while time.monotonic() < end:
                host = cluster.hosts[sends % len(cluster.hosts)]
                call_status(host, "/bookings/crash")
                sends += 1
                time.sleep(0.05)
            check(len(crashes) >= 3, f"{len(crashes)} crashes")
            late = [at for at in crashes if at > crashes[2] + SPREAD_LIMIT_S]
            check(len(late) <= 3, f"{len(late)} late crashes of {len(crashes)}")
            load = cluster.start_load("after", MIXED, 200, 3)
            result = cluster.finish_load("after", load)
            check(result["outcomes"] == {"ok": result["calls"]}, str(result))
            listed = cluster.ctl_json("crashes").get("records", [])
            keys = [record["key"] for record in listed
                    if len(record["versions"][0]["instances"]) >= 3]
            check(len(keys) == 1, f"listed requests: {listed}")
            answer = cluster.ctl("crashes", "clear", keys[0])
            check(answer.returncode == 0, answer.stderr)
            time.sleep(1)
            before = len(crashes)
            call_status(cluster.hosts[0], "/bookings/crash")
            cluster.wait(lambda: len(crashes) > before, "a cleared request")
        finally:
            stopping.set()
            supervisor.join()


def drained_backend_gets_nothing_new():
    """A backend server drains while its node cannot notify any other node. Its
    node refuses new requests for it."""
    with sagarmatha(27) as cluster:
        cluster.start()
        cluster.apply_first_table()
        load = cluster.start_load("writes", WRITES, 200, 9)
        time.sleep(1)
        host = next(h for h in cluster.hosts if h.name == "bookings-1")
        # Cuts the control traffic of the node, but not its requests.
        cluster.set_faults(host, [
            {"kind": "cut", "address": other.at(CONTROL_PORT)}
            for other in cluster.hosts if other != host])
        backend = host.backends[("bookings", "v1")]
        drain_start_ms = time.time() * 1000
        post(host.at(BACKEND_PORT), "/__test", {"linger_s": "6"})
        backend.send_signal(signal.SIGTERM)
        time.sleep(DRAIN_LIMIT_S)
        # A node with outdated state forwards one more request.
        verdict = verdict_of_forwarded(host, "bookings", "v1")
        check(verdict == "NotRun", f"the verdict of its node is {verdict}")
        result = cluster.finish_load("writes", load)
        times = cluster.run_times_ms(host, "bookings", "v1")
        check(any(t < drain_start_ms for t in times),
              "it ran no request before the drain")
        late = [t - drain_start_ms for t in times
                if t > drain_start_ms + DRAIN_LIMIT_S * 1000]
        check(not late, f"{len(late)} runs began too late, the last one "
              f"{max(late or [0]):.0f} ms after the drain")
        check(result["outcomes"].get("ok", 0) > 0.97 * result["calls"],
              str(result))
        check_run_counts(cluster)


def shutdown_cuts_nothing_off():
    """Nodes are restarted one after another during slow requests. No request in
    flight is aborted."""
    with sagarmatha(28) as cluster:
        cluster.spec["backend"]["latency_ms"] = 300
        cluster.spec["backend"]["slots"] = 60
        cluster.start()
        cluster.apply_first_table()
        load = cluster.start_load("mixed", MIXED, 100, 60)
        time.sleep(1)
        for host in cluster.hosts[::2]:
            code = stop_gracefully(host.node)
            check(code == 0, f"{host.name} ended with exit code {code}")
            cluster.start_node(host)
            cluster.wait(lambda host=host: cluster.metrics(host).get(
                "kumquatmoor_ready") == 1, f"{host.name} to return")
            # Its backend server announces itself again within half a second.
            time.sleep(0.7)
        load.send_signal(signal.SIGTERM)
        result = cluster.finish_load("mixed", load)
        print(result)
        outcomes = result["outcomes"]
        check(set(outcomes) <= {"ok", "NotRun"}, str(outcomes))
        check(outcomes["ok"] > 0.98 * result["calls"], str(outcomes))
        check_run_counts(cluster)


def accepted_means_in_force():
    """The platform is suspended right after a batch is accepted, while one node
    is suspended and one is killed. The batch comes into force in time at the
    other nodes, and at those two once they run again."""
    with sagarmatha(29) as cluster:
        cluster.start()
        cluster.apply_first_table()
        paused, killed = cluster.hosts[5], cluster.hosts[9]
        paused.node.send_signal(signal.SIGSTOP)
        killed.node.kill()
        killed.node.wait()
        others = [h for h in cluster.hosts if h not in (paused, killed)]
        worst = 0
        for rate in range(1001, 1006):
            answer = cluster.apply(rows(max_rate=rate))
            cluster.platform.send_signal(signal.SIGSTOP)
            worst = max(worst, cluster.wait_in_force(answer["revision"],
                                                     others))
            cluster.platform.send_signal(signal.SIGCONT)
        print(f"slowest batch in force after {worst:.2f} s")
        check(worst <= CONVERGENCE_LIMIT_S, f"slowest batch: {worst:.1f} s")
        cluster.platform.send_signal(signal.SIGSTOP)
        paused.node.send_signal(signal.SIGCONT)
        cluster.start_node(killed)
        duration_s = cluster.wait_in_force(answer["revision"], [paused, killed])
        check(duration_s <= CONVERGENCE_LIMIT_S + 2,
              f"suspended and killed nodes: {duration_s:.1f} s")
        cluster.wait(lambda: cluster.status()["holding"] == 16,
                     "status to report the batch on all nodes", 15, 0.3)
        text = cluster.ctl("status").stdout
        check(f"revision {answer['revision']} is in force on all 16 nodes"
              in text, text)


def operators_race():
    """Operators write concurrently, and the platform drops responses to
    writes that took effect. No edit is lost or overwritten, and the client
    reports the outcome correctly."""
    with sagarmatha(30) as cluster:
        cluster.start()
        cluster.apply_first_table()

        def edit(service, rate):
            return cluster.ctl("table", "edit", service, "v1",
                               f"--max_rate={rate}")

        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            results = list(pool.map(edit, SERVICES, range(101, 105)))
        check(all(result.returncode == 0 for result in results),
              str([result.stderr for result in results]))
        table = cluster.ctl("table", "get").stdout
        for service, rate in zip(SERVICES, range(101, 105)):
            check(f"{service},v1,100,,{rate}," in table, table)

        # Conflict on one row: four copies of the same table change it, and all
        # of them are applied.
        copy = cluster.ctl("table", "get").stdout
        copy_paths = []
        for number in range(4):
            copy_paths.append(cluster.path(f"copy{number}.csv"))
            with open(copy_paths[-1], "w", newline="") as file:
                file.write(copy.replace("media,v1,100,,103,",
                                        f"media,v1,100,,{200 + number},"))
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            results = list(pool.map(
                lambda path: cluster.ctl("table", "apply", path), copy_paths))
        codes = sorted(result.returncode for result in results)
        check(codes == [0, 1, 1, 1], str(codes))
        check(sum("changed by somebody else" in result.stderr
                  for result in results) == 3,
              "the conflict is not reported to three operators")

        cluster.platform_test({"lose_answers": 2})
        answer = cluster.ctl_json("table", "edit", "media", "v1",
                                  "--max_rate=300")
        check(answer["outcome"] == "accepted", str(answer))
        history = cluster.ctl("history", f"--write_id={answer['write_id']}")
        check(f"accepted as revision {answer['revision']}" in history.stdout,
              history.stdout)
        cluster.wait_in_force(answer["revision"])


def zones_serve_alone():
    """Every zone is partitioned from every other and the platform is suspended.
    Each zone still serves its requests."""
    with sagarmatha(31) as cluster:
        cluster.start()
        cluster.apply_first_table()
        cluster.platform.send_signal(signal.SIGSTOP)
        cluster.cut_all_zones()
        time.sleep(8)
        for zone in cluster.spec["zones"]:
            nodes = [host for host in cluster.hosts if host.zone == zone]
            load = cluster.start_load(f"in-{zone}", MIXED, 40, 2, nodes)
            result = cluster.finish_load(f"in-{zone}", load)
            check(result["outcomes"] == {"ok": result["calls"]},
                  f"{zone}: {result}")
        cluster.heal()
        cluster.platform.send_signal(signal.SIGCONT)
        cluster.wait(lambda: cluster.status()["live_nodes"] == 16,
                     "all nodes to see each other again", 30, 0.5)
        check_run_counts(cluster)


PROOFS = [revisions_never_fall, routes_resolve, damaged_batch_is_refused_whole,
          bad_version_is_taken_back, answers_are_whole_and_own,
          large_bodies_stream, at_most_one_run,
          silent_node_keeps_its_work,
          callers_that_leave_free_their_slots, crashing_request_is_stopped, drained_backend_gets_nothing_new,
          shutdown_cuts_nothing_off, accepted_means_in_force, operators_race,
          zones_serve_alone, grace_ends_every_request, grace_of_a_slow_node,
          grace_of_both_hops, early_signals_are_kept, grace_is_bounded,
          early_signals_of_a_first_process, first_requests_are_not_denied]


def main():
    names = {proof.__name__: proof for proof in PROOFS}
    if sys.argv[1:2] == ["--list"]:
        print("\n".join(names))
        return
    begin = time.monotonic()
    proof = names[sys.argv[1]]
    try:
        proof()
    except (AssertionError, TimeoutError, RuntimeError) as error:
        print(f"{proof.__name__} failed: {error}")
        sys.exit(1)
    print(f"{proof.__name__} passed in {time.monotonic() - begin:.0f} s")


if __name__ == "__main__":
    main()
