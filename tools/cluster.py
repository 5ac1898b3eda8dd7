"""Runs a deployment as real processes on loopback, for the demo, the proofs
and the benchmarks.

    with Cluster("deploy/sagarmatha", network=10) as cluster:
        cluster.start()
        cluster.apply(rows)

Each host has the address 127.NETWORK.ZONE.HOST and the same ports, so
clusters with different networks can run side by side. When the block ends,
every process that the cluster started is killed by its id, and its directory
is removed unless keep_logs is set.
"""

import csv
import io
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("KUMQUATMOOR_BUILD", os.path.join(ROOT, "build"))
CALLER_PORT, DATA_PORT, CONTROL_PORT, ADMIN_PORT = 7000, 7001, 7002, 7003
PLATFORM_PORT, BACKEND_PORT = 7100, 8000
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15


def post(address, path, body, timeout=2):
    """POSTs JSON and returns the parsed response, or None after a failure."""
    request = urllib.request.Request(
        f"http://{address}{path}", json.dumps(body).encode(), method="POST")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return json.loads(answer.read() or b"{}")
    except (urllib.error.URLError, OSError, ValueError):
        return None


def table_csv(rows):
    """The operators' table as CSV text; `rows` are dictionaries."""
    columns = ["service", "version", "weight", "max_concurrent", "max_rate",
               "move_by"]
    text = io.StringIO()
    writer = csv.DictWriter(text, columns, restval="", lineterminator="\r\n")
    writer.writeheader()
    writer.writerows(rows)
    return text.getvalue()


class Host:
    """A host: the process of its node, and those of its backend servers by
    (service, version)."""

    def __init__(self, name, zone, address):
        self.name, self.zone, self.address = name, zone, address
        self.node = None
        self.backends = {}

    def at(self, port):
        return f"{self.address}:{port}"


class Cluster:
    def __init__(self, deployment, network, keep_logs=False):
        with open(os.path.join(ROOT, deployment, "deployment.json")) as file:
            self.spec = json.load(file)
        self.network = network
        self.keep_logs = keep_logs
        self.directory = tempfile.mkdtemp(prefix="kumquatmoor-")
        self.platform_address = f"127.{network}.0.1:{PLATFORM_PORT}"
        self.platform = None
        self.processes = []
        self.place_hosts()

    def place_hosts(self):
        """Assigns an address to each host of the deployment."""
        self.hosts = []
        for zone_index, zone in enumerate(self.spec["zones"], 1):
            names = [host for host in self.spec["hosts"]
                     if host["zone"] == zone]
            for host_index, host in enumerate(names, 1):
                address = (f"127.{self.network}.{zone_index}."
                           f"{host_index}")
                self.hosts.append(Host(host["name"], zone, address))

    def hosts_in_spec_order(self):
        by_name = {host.name: host for host in self.hosts}
        return [by_name[entry["name"]] for entry in self.spec["hosts"]]

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if self.keep_logs:
            print(f"logs are kept in {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def path(self, name):
        return os.path.join(self.directory, name)

    def run(self, name, *arguments, pass_fds=()):
        log = open(self.path(f"{name}.log"), "ab")
        process = subprocess.Popen(
            arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            pass_fds=pass_fds)
        log.close()
        self.processes.append(process)
        return process

    def program(self, name):
        return os.path.join(BUILD, name)

    # Start of processes.

    def start_platform(self):
        self.platform = self.run(
            "platform", self.program("fake_platform"),
            f"--address={self.platform_address}")
        self.wait(lambda: self.platform_test({}) is not None,
                  "the platform to answer")

    def start_node(self, host, pass_fds=()):
        seeds = [other.at(CONTROL_PORT) for other in self.hosts[::3]]
        settings = {
            "id": host.name,
            "zone": host.zone,
            "caller_address": host.at(CALLER_PORT),
            "data_address": host.at(DATA_PORT),
            "control_address": host.at(CONTROL_PORT),
            "admin_address": host.at(ADMIN_PORT),
            "platform_address": self.platform_address,
            "seeds": seeds,
            **self.spec.get("node_settings", {}),
        }
        path = self.path(f"{host.name}.json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=2)
        host.node = self.run(
            host.name, self.program("kumquatmoord"), f"--settings={path}",
            "--enable_fault_injection", pass_fds=pass_fds)

    def start_backend(self, host, service, version, port=BACKEND_PORT,
                      **flags):
        name = f"{service}-{version}-{host.name}"
        options = {**self.spec.get("backend", {}), **flags}
        process = self.run(
            name, self.program("fake_backend"),
            f"--address={host.at(port)}", f"--node={host.at(ADMIN_PORT)}",
            f"--service={service}", f"--serve_version={version}",
            f"--runs_file={self.path(name + '.runs')}",
            *[f"--{key}={value}" for key, value in options.items()])
        host.backends[(service, version)] = process
        return process

    def start(self):
        """Starts the platform, every node and version v1 of each service, and
        waits until every node has joined and lists all targets."""
        self.start_platform()
        for host in self.hosts:
            self.start_node(host)
        by_name = {host.name: host for host in self.hosts}
        for host in self.spec["hosts"]:
            self.start_backend(by_name[host["name"]], host["service"], "v1")
        self.wait(self.all_joined, "every node to join")
        self.wait_targets(len(self.spec["hosts"]))

    def start_version(self, service, version, port, hosts=None, **flags):
        """Starts a further version on each host of the service, or on those
        whose names are in `hosts`."""
        names = [host["name"] for host in self.spec["hosts"]
                 if host["service"] == service]
        for host in self.hosts:
            if host.name in (hosts or names):
                self.start_backend(host, service, version, port, **flags)

    # Observation.

    def wait(self, condition, what, timeout=READY_TIMEOUT_S, pause=0.05):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"waited {timeout} s for {what}")
            time.sleep(pause)

    def metrics(self, host):
        try:
            with urllib.request.urlopen(
                    f"http://{host.at(ADMIN_PORT)}/metrics",
                    timeout=2) as answer:
                lines = answer.read().decode().splitlines()
        except (urllib.error.URLError, OSError):
            return {}
        pairs = [line.rsplit(" ", 1) for line in lines
                 if not line.startswith("#")]
        return {name: float(value) for name, value in pairs}

    def revision(self, host):
        return int(self.metrics(host).get("kumquatmoor_revision", -1))

    def live_hosts(self):
        return [host for host in self.hosts
                if host.node is not None and host.node.poll() is None]

    def all_joined(self):
        return all(
            self.metrics(host).get("kumquatmoor_ready") == 1 and
            self.metrics(host).get("kumquatmoor_members") >= len(self.hosts)
            for host in self.live_hosts())

    def targets(self, host):
        """Targets that a node lists as live and not draining, as (service,
        version, member id)."""
        nodes = self.ctl_json("nodes", nodes=[host.at(CONTROL_PORT)])
        return {(endpoint["service"], endpoint["version"], member["id"])
                for member in nodes["members"]
                if member["status"] == "ALIVE"
                for endpoint in member["endpoints"]
                if not endpoint["draining"]}

    def wait_targets(self, count, timeout=READY_TIMEOUT_S):
        """Waits until every live node lists `count` live targets."""
        for host in self.live_hosts():
            self.wait(lambda host=host: len(self.targets(host)) == count,
                      f"{host.name} to list {count} live targets", timeout)

    def wait_in_force(self, revision, hosts=None, timeout=READY_TIMEOUT_S):
        """Waits until the revision or a later one is in force on every host
        given (default: all live ones). Returns the wait in seconds."""
        begin = time.monotonic()
        behind = list(hosts or self.live_hosts())
        end = begin + timeout
        while behind:
            behind = [host for host in behind
                      if self.revision(host) < revision]
            if behind and time.monotonic() > end:
                names = ", ".join(host.name for host in behind)
                raise TimeoutError(
                    f"revision {revision} is not in force on {names}")
            if behind:
                time.sleep(0.01)
        return time.monotonic() - begin

    def convergence_ms(self, answer):
        """Milliseconds from the acceptance of a batch until it was in force on
        the last node. `answer` is the JSON output of a table command."""
        self.wait_in_force(answer["revision"])
        since = [self.metrics(host)["kumquatmoor_in_force_since_ms"]
                 for host in self.live_hosts()]
        return max(since) - answer["accepted_ms"]

    # Operators' commands.

    def ctl(self, *arguments, nodes=None, timeout=30):
        addresses = nodes or [host.at(CONTROL_PORT)
                              for host in self.live_hosts()[:3]]
        command = [self.program("kumquatmoorctl"),
                   f"--platform={self.platform_address}",
                   f"--nodes={','.join(addresses)}", "--author=test",
                   *arguments]
        return subprocess.run(command, capture_output=True, text=True,
                              timeout=timeout, check=False)

    def ctl_json(self, *arguments, **options):
        result = self.ctl("--output=json", *arguments, **options)
        try:
            return json.loads(result.stdout)
        except ValueError:
            raise RuntimeError(
                f"kumquatmoorctl {' '.join(arguments)}: exit code "
                f"{result.returncode}, {result.stderr}") from None

    def apply(self, rows):
        path = self.path("table.csv")
        with open(path, "w", newline="") as file:
            file.write(table_csv(rows))
        return self.ctl_json("table", "apply", path)

    def apply_first_table(self):
        services = sorted({host["service"] for host in self.spec["hosts"]})
        answer = self.apply([{"service": service, "version": "v1",
                              "weight": 100} for service in services])
        self.wait_in_force(answer["revision"])
        return answer

    def status(self, **options):
        return self.ctl_json("status", **options)

    def service_status(self, service, **options):
        return next(entry for entry in self.status(**options)["services"]
                    if entry["service"] == service)

    # Fault injection.

    def platform_test(self, body):
        return post(self.platform_address, "/v1/test", body)

    def set_faults(self, host, rules):
        if post(host.at(ADMIN_PORT), "/faults", rules) is None:
            raise RuntimeError(f"{host.name} did not accept the fault rules")

    def cut_zone(self, zone):
        """Partitions a zone from all others, in both directions."""
        for host in self.live_hosts():
            self.cut_host_from(host, [
                other for other in self.hosts
                if (other.zone == zone) != (host.zone == zone)])

    def cut_all_zones(self):
        """Partitions every zone from every other."""
        for host in self.live_hosts():
            self.cut_host_from(host, [other for other in self.hosts
                                      if other.zone != host.zone])

    def cut_host_from(self, host, others):
        """Drops what the node of a host sends to others. The rules name
        addresses because a node does not know the zones of its seeds."""
        self.set_faults(host, [{"kind": "cut", "address": other.address}
                               for other in others])

    def heal(self):
        for host in self.live_hosts():
            self.set_faults(host, [])

    # Load.

    def start_load(self, name, mix, rate, seconds, hosts=None, **flags):
        nodes = ",".join(host.at(CALLER_PORT) for host in hosts or self.hosts)
        return self.run(
            name, self.program("load"), f"--nodes={nodes}",
            f"--mix={','.join(mix)}", f"--rate={rate}",
            f"--seconds={seconds}", f"--id_prefix={name}",
            f"--output={self.path(name + '.result')}",
            f"--not_run_file={self.path(name + '.not_run')}",
            f"--calls_file={self.path(name + '.calls')}",
            *[f"--{key}={value}" for key, value in flags.items()])

    def finish_load(self, name, process):
        process.wait(timeout=120)
        with open(self.path(name + ".result")) as file:
            return json.load(file)

    def calls(self, name):
        """Yields (id, service, method, outcome, version, latency in ms) of each
        call of a load."""
        with open(self.path(name + ".calls")) as file:
            for line in file:
                head, version, milliseconds = line.rsplit(" ", 2)
                call_id, service, method, outcome = head.split(" ", 3)
                yield (call_id, service, method, outcome, version,
                       float(milliseconds))

    def runs(self):
        """Number of runs of each non-idempotent request, by request id."""
        counts = {}
        for name in os.listdir(self.directory):
            if not name.endswith(".runs"):
                continue
            with open(self.path(name)) as file:
                for line in file:
                    call_id = line.split()[0]
                    counts[call_id] = counts.get(call_id, 0) + 1
        return counts

    def run_times_ms(self, host, service, version):
        """Unix times in ms at which one backend server began non-idempotent
        runs."""
        name = f"{service}-{version}-{host.name}.runs"
        if not os.path.exists(self.path(name)):
            return []
        with open(self.path(name)) as file:
            return [int(line.split()[1]) for line in file]

    def double_runs(self):
        return sum(1 for count in self.runs().values() if count > 1)

    def false_not_runs(self):
        """Number of requests whose response was NotRun although they ran."""
        runs = self.runs()
        answered_not_run = set()
        for name in os.listdir(self.directory):
            if name.endswith(".not_run"):
                with open(self.path(name)) as file:
                    answered_not_run.update(line.strip() for line in file)
        return sum(1 for call_id in answered_not_run
                   if runs.get(call_id, 0) > 0)


def stop_gracefully(process, timeout=STOP_TIMEOUT_S):
    process.send_signal(signal.SIGTERM)
    return process.wait(timeout=timeout)


def fail(message):
    print(message, file=sys.stderr)
    sys.exit(1)
