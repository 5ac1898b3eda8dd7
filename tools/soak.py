"""A fault soak: real nodes and backend servers on loopback beside a stand-in of
the store, disturbances drawn from a seed, and the oracles of soak_oracles.py.

    soak.py SEED [--seconds N] [--network N] [--keep_logs]

The environment variable KUMQUATMOOR names another program to run as node. The
last line counts requests, disturbances and checks. A violation, a node that
ends by itself and a run with too few checks are failures; the directory with
the logs of all processes is then kept.
"""

import argparse
import asyncio
import base64
import collections
import itertools
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time

from cluster import BACKEND_PORT, CALLER_PORT, PLATFORM_PORT, ROOT, Cluster, Host
from soak_oracles import Oracles, Request, Span, Version

FIRST_HOSTS, ALL_HOSTS, ZONES = 6, 8, 2
SERVICES = ["bookings", "listings", "reports"]
BASE = {f"/base-{service}/": service for service in SERVICES}
KEPT_ROUTES = 4  # Each version adds a route, which this many versions have.
BULK_ROUTES = 1400
CALLERS_PER_HOST, CALLER_PAUSE_S, CALL_TIMEOUT_S = 4, 0.08, 3
GRACE_S, HEARTBEAT_S, REUSE_AFTER_S, RESTART_S = 6, 1.5, 2, 0.5
# A run of 60 s with fewer checks proves nothing.
LEAST_CHECKS = {"config": 300, "downgrade": 1000, "denied": 2000}


def settings_of(host, zone, platform):
    """Fills in deploy/node.json.template as the platform does."""
    values = {
        "node": host.name, "zone": zone, "ip": host.address,
        "listen.outbound": host.at(CALLER_PORT), "listen.inbound": host.at(7001),
        "listen.ready": host.at(7005), "listen.control": host.at(7004),
        "portRange.0": 7002, "portRange.1": 7003, "platform.address": platform,
        "heartbeatS": HEARTBEAT_S, "service": host.service,
        "appAddr": host.at(BACKEND_PORT), "bounds.budgetRatio": 0.2,
        "bounds.graceS": GRACE_S, "limits.linkMbps": 1000.0}
    with open(os.path.join(ROOT, "deploy/node.json.template")) as file:
        return re.sub(
            r"\{\{([\w.]+)(\|json)?\}\}",
            lambda m: json.dumps(values[m[1]]) if m[2] else str(values[m[1]]),
            file.read())


class Mesh(Cluster):
    """The processes of a run; Cluster's for a deployment without a file."""

    def __init__(self, network, keep_logs):
        self.directory = tempfile.mkdtemp(prefix="kumquatmoor-soak-")
        self.keep_logs, self.processes = keep_logs, []
        self.platform_address = f"127.{network}.0.1:{PLATFORM_PORT}"
        self.hosts, self.instances = [], 0
        for i in range(ALL_HOSTS):
            host = Host(f"host-{i}", f"z-{i % ZONES}",
                        f"127.{network}.{i % ZONES + 1}.{i + 1}")
            host.service = SERVICES[i % len(SERVICES)]
            host.lifetime, host.spans, host.backend = 0, [], None
            host.busy = False  # A disturbance is under way.
            self.hosts.append(host)

    def start_node(self, host):
        path = self.path(f"{host.name}.json")
        with open(path, "w") as file:
            file.write(settings_of(host, host.zone, self.platform_address))
        host.lifetime += 1
        host.node = self.run(
            host.name,
            os.environ.get("KUMQUATMOOR", self.program("kumquatmoord")),
            f"--settings={path}", "--enable_fault_injection")

    def start_backend(self, host):
        self.instances += 1
        with open(self.path(f"backend-{host.name}.log"), "ab") as log:
            host.backend = subprocess.Popen(
                [sys.executable, os.path.join(ROOT, "tools/soak_backend.py"),
                 host.at(BACKEND_PORT), host.at(7004), host.service,
                 f"i-{self.instances}", str(HEARTBEAT_S)],
                stdin=subprocess.PIPE, stdout=log, stderr=log)
        self.processes.append(host.backend)

    def running(self):
        return [h for h in self.hosts if h.node and h.node.poll() is None]


class Connection:
    """A caller's connection to a node."""

    def __init__(self, host):
        self.host, self.lifetime, self.writer = host, None, None

    async def open(self):
        lifetime = self.host.lifetime
        self.reader, self.writer = await asyncio.open_connection(
            self.host.address, CALLER_PORT)
        self.lifetime = (lifetime, self.host.lifetime)

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None

    async def call(self, method, path, request_id):
        body = b"x" * 20 if method == "POST" else b""
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\n"
            f"X-Kumquatmoor-Attempt-Id: {request_id}\r\n"
            f"X-Kumquatmoor-Deadline-Ms: {CALL_TIMEOUT_S * 1000}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        head = await self.reader.readuntil(b"\r\n\r\n")
        status, *lines = head.decode("latin-1").split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in
                  (line.partition(":") for line in lines)}
        if "content-length" in fields:
            text = await self.reader.readexactly(int(fields["content-length"]))
        else:
            text = await self.reader.read()
        if fields.get("connection", "").lower() == "close":
            self.close()
        return status.split()[1], fields, text.decode("latin-1")


class Soak:
    def __init__(self, seed, seconds, mesh):
        self.seed, self.seconds, self.mesh = seed, seconds, mesh
        self.start = time.monotonic()
        self.versions, self.requests, self.store = [], [], []
        self.counts = collections.Counter()
        self.failures = []
        self.bulk_left = 0
        self.quiet_until = 0  # No version is written before.
        self.writing = asyncio.Lock()

    def now(self):
        return time.monotonic() - self.start

    def random(self, name):
        return random.Random(f"{self.seed}/{name}")

    def span(self, spans, kind, **options):
        self.counts[kind] += 1
        spans.append(Span(kind, self.now(), **options))
        print(f"{self.now():8.3f} {kind}", file=self.log)
        return spans[-1]

    # The operator.

    def next_version(self, rng):
        index = len(self.versions)
        routes = dict(BASE)
        for i in range(max(0, index - KEPT_ROUTES + 1), index + 1):
            routes[f"/v{i}/"] = SERVICES[i % len(SERVICES)]
        routes["/moved/"] = SERVICES[index % len(SERVICES)]
        if self.bulk_left == 0 and rng.random() < 0.2:
            self.bulk_left = rng.randint(1, 5)
            self.counts["1400 routes"] += 1
        if self.bulk_left > 0:
            self.bulk_left -= 1
            routes.update({f"/bulk-{i}/": SERVICES[i % len(SERVICES)]
                           for i in range(BULK_ROUTES)})
        last = self.versions[-1].number if self.versions else 0
        return Version(last + rng.randint(1, 9), routes, self.now())

    async def write_newest(self):
        """Writes the newest version until the store acknowledges it."""
        version = self.versions[-1]
        routes = {prefix.strip("/"): {
            "host": "soak.example", "prefix": prefix, "service": service,
            "kind": "idempotent", "timeoutS": 2, "aimS": 0.5, "priority": 1,
            "maxAttempts": 3} for prefix, service in version.routes.items()}
        config = {
            "version": version.number, "routes": routes,
            "services": {s: {"healthPath": "/health", "maxConnections": 100}
                         for s in SERVICES},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                       "headerTimeoutS": 3, "idleTimeoutS": 15}}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        while not await self.store_call("/-/kv-txn", {
                "expectedRev": [], "deletes": [],
                "writes": [{"key": "op/config", "value": value, "lease": 0}]}):
            self.counts["write repeated"] += 1
            await asyncio.sleep(0.2)
        version.acked = min(version.acked, self.now())

    async def store_call(self, path, body):
        """Returns the response's body, or None without a success."""
        host, port = self.mesh.platform_address.split(":")
        text = json.dumps(body)
        try:
            async with asyncio.timeout(5):
                reader, writer = await asyncio.open_connection(host, port)
                try:
                    writer.write(f"POST {path} HTTP/1.1\r\nHost: store\r\n"
                                 "Content-Type: application/json\r\n"
                                 "Connection: close\r\nContent-Length: "
                                 f"{len(text)}\r\n\r\n{text}".encode())
                    answer = await reader.read()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return None
        head, _, rest = answer.partition(b"\r\n\r\n")
        return json.loads(rest) if b" 200 " in head[:20] else None

    async def write_versions(self):
        rng = self.random("versions")
        while True:
            gap = (0.15, 0.4) if rng.random() < 0.6 else (2.5, 6)
            await asyncio.sleep(rng.uniform(*gap))
            await asyncio.sleep(max(0, self.quiet_until - self.now()))
            await self.write_version(rng)

    async def write_version(self, rng):
        async with self.writing:
            self.versions.append(self.next_version(rng))
            await self.write_newest()
        self.counts["version"] += 1

    # Disturbances of the store.

    async def disturb_store(self):
        rng = self.random("store")
        kinds = [self.return_store, self.answer_late, self.lose_answers,
                 self.return_store, self.forget_history]
        await asyncio.sleep(5)
        while True:
            rng.shuffle(kinds)
            for kind in kinds:
                await asyncio.sleep(rng.uniform(1, 7))
                await kind(rng)

    async def return_store(self, rng):
        """The store comes back from an older copy. The operator writes the
        newest version again, mostly another one after it, and is quiet then, so
        that revisions stay below those of before."""
        for _ in range(rng.randint(0, 4)):
            await self.write_version(rng)
        quiet = rng.random() < 0.7
        if quiet:
            self.quiet_until = self.now() + 12
        span = self.span(self.store, "store returns", stretches=True)
        await self.store_call("/v1/test", {
            "return_ms": rng.randint(300, 5000)})
        await asyncio.sleep(rng.uniform(0.1, 2))
        async with self.writing:
            await self.write_newest()
        span.end = self.now()
        if quiet:
            await asyncio.sleep(rng.uniform(0, 1))
            await self.write_version(rng)
            await asyncio.sleep(rng.uniform(4, 6))

    async def answer_late(self, rng):
        late_ms = rng.randint(500, 3000)
        kind = rng.choice(["late_ms", "delay_ms"])
        span = self.span(self.store, f"store {kind[:-3]}")
        await self.store_call("/v1/test", {kind: late_ms})
        await asyncio.sleep(rng.uniform(1, 4))
        await self.store_call("/v1/test", {kind: 0})
        # The last response that is under way.
        span.end = self.now() + late_ms / 1000

    async def lose_answers(self, rng):
        span = self.span(self.store, "store loses responses")
        await self.store_call("/v1/test", {"lose_answers": rng.randint(1, 3)})
        await asyncio.sleep(rng.uniform(1, 3))
        await self.store_call("/v1/test", {"lose_answers": 0})
        span.end = self.now()

    async def forget_history(self, rng):
        span = self.span(self.store, "store forgets history", stretches=True)
        await self.store_call("/v1/test", {"forget_history": True})
        span.end = self.now()

    # Disturbances of nodes.

    async def disturb_nodes(self, stream):
        rng = self.random(f"nodes {stream}")
        kinds = [self.kill, self.freeze, self.cut, self.stop_series]
        await asyncio.sleep(4)
        while True:
            rng.shuffle(kinds)
            for kind in kinds:
                await asyncio.sleep(rng.uniform(1, 4))
                free = [h for h in self.mesh.running() if not h.busy]
                several = kind == self.freeze and rng.random() < 0.6
                count = rng.choice([3, 4]) if several else rng.choice([1, 1, 2])
                hosts = rng.sample(free, min(len(free), count))
                for host in hosts:
                    host.busy = True
                if several:  # Some have pushed it, some have not, when frozen.
                    asyncio.create_task(self.write_version(rng))
                    await asyncio.sleep(rng.uniform(0, 0.1))
                await asyncio.gather(*[kind(host, rng) for host in hosts])
                for host in hosts:
                    host.busy = False

    async def kill(self, host, rng):
        span = self.span(host.spans, "kill")
        host.node.kill()
        await self.restart(host, span)

    async def restart(self, host, span):
        while host.node.poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_S)
        self.mesh.start_node(host)
        span.end = self.now()

    async def freeze(self, host, rng):
        span = self.span(host.spans, "freeze")
        host.node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 4))
        host.node.send_signal(signal.SIGCONT)
        span.end = self.now()

    async def set_cut(self, host, on):
        for other in self.mesh.running():
            cut = ([h for h in self.mesh.hosts if h is not host]
                   if other is host else [host])
            rules = [{"kind": "cut", "address": h.address} for h in cut]
            await asyncio.to_thread(self.mesh.set_faults, other,
                                    rules if on else [])

    async def cut(self, host, rng):
        span = self.span(host.spans, "cut")
        try:
            await self.set_cut(host, True)
            await asyncio.sleep(rng.uniform(1, 4))
        except RuntimeError:
            pass
        try:
            await self.set_cut(host, False)
        except RuntimeError:
            pass
        span.end = self.now()

    async def stop_series(self, host, rng):
        for _ in range(rng.choice([1, 2])):
            span = self.span(host.spans, "stop")
            host.node.send_signal(signal.SIGTERM)
            end = self.now() + GRACE_S
            while host.node.poll() is None and self.now() < end:
                await asyncio.sleep(0.02)
            if host.node.poll() is None:
                self.counts["killed after the grace"] += 1
                host.node.kill()
            await self.restart(host, span)
            await asyncio.sleep(rng.uniform(0, 1))

    async def add_hosts(self):
        rng = self.random("hosts")
        for host in self.mesh.hosts[FIRST_HOSTS:]:
            await asyncio.sleep(rng.uniform(6, 15))
            self.mesh.start_node(host)
            self.mesh.start_backend(host)
            self.span(host.spans, "host added").end = self.now()

    async def watch_nodes(self):
        """Records a node that ends by itself."""
        while True:
            for host in self.mesh.hosts:
                ended = host.node and host.node.poll() is not None
                if ended and not host.busy:
                    self.failures.append(f"END: t={self.now():.3f} "
                                         f"node={host.name} ended by itself")
                    await self.restart(host, self.span(host.spans, "own end"))
            await asyncio.sleep(0.1)

    # Disturbances of backend servers.

    async def disturb_backends(self):
        rng = self.random("backends")
        kinds = ["draining", "delete", "header", "limit", "crash", "endless"]
        await asyncio.sleep(4)
        while True:
            rng.shuffle(kinds)
            for kind in kinds:
                await asyncio.sleep(rng.uniform(0.5, 2.5))
                await self.disturb_backend(rng, kind)

    async def disturb_backend(self, rng, kind):
        host = rng.choice(self.mesh.running() or self.mesh.hosts[:1])
        self.counts[f"backend {kind}"] += 1
        if kind in ("crash", "endless"):
            await self.call_once(Connection(host), "POST",
                                 f"/base-{host.service}/", kind, f"odd-{kind}")
            return
        backend = host.backend

        def command(text):
            try:
                backend.stdin.write(f"{text}\n".encode())
                backend.stdin.flush()
            except (OSError, AttributeError):
                pass  # It has crashed.

        command(f"limit {rng.randint(3, 30)}" if kind == "limit"
                else f"leave {kind}")
        if kind == "limit":
            await asyncio.sleep(rng.uniform(1, 3))
            command("limit 0")

    async def keep_backends(self):
        while True:
            for host in self.mesh.hosts:
                if host.backend and host.backend.poll() is not None:
                    host.backend = None
                    asyncio.get_running_loop().call_later(
                        REUSE_AFTER_S, self.mesh.start_backend, host)
            await asyncio.sleep(0.1)

    # Callers.

    def pick_prefix(self, rng):
        newest = len(self.versions) - 1
        draw = rng.random()
        if draw < 0.35:
            return rng.choice(list(BASE))
        if draw < 0.55:
            return "/moved/"
        if draw < 0.65:
            return f"/bulk-{rng.randrange(BULK_ROUTES)}/"
        return f"/v{max(0, newest - rng.randint(-1, KEPT_ROUTES + 1))}/"

    async def call_once(self, connection, method, prefix, rest, request_id):
        """One request; records it, with all that its caller saw."""
        outcome, service, sent = "refused", "", self.now()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S + 0.5):
                if connection.writer is None:
                    await connection.open()
                sent = self.now()
                outcome = "closed"
                outcome, fields, text = await connection.call(
                    method, prefix + rest, request_id)
            if "x-kumquatmoor-response-signature" in fields:
                service, _, own_id = text.split(" ")
                if own_id != request_id:
                    self.failures.append(f"MIXED: t={sent:.3f} id={request_id} "
                                         f"got the response to {own_id}")
        except TimeoutError:
            outcome = "timeout"
            connection.close()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            connection.close()
        lifetime = connection.lifetime
        if outcome not in ("refused", "closed", "timeout"):
            # A node that was replaced while the connection was made.
            name = lifetime[0] if lifetime[0] == lifetime[1] else request_id
            self.requests.append(Request(
                request_id, connection.host.name, name, prefix, sent,
                self.now(), outcome, service))
        self.counts[f"[{outcome}]"] += 1
        return outcome

    async def caller(self, host, number):
        rng = self.random(f"caller {host.name} {number}")
        connection = Connection(host)
        keeps = number % 2 == 0  # It uses a connection until the node ends it.
        try:
            for i in itertools.count():
                await asyncio.sleep(rng.uniform(0.5, 1.5) * CALLER_PAUSE_S)
                if not keeps and i % 5 == 0:
                    connection.close()
                if host.node is not None:
                    await self.call_once(
                        connection, rng.choice(["GET", "GET", "POST"]),
                        self.pick_prefix(rng), "x",
                        f"{host.name}-{number}-{i}")
        finally:
            connection.close()

    # The run.

    async def run(self):
        mesh = self.mesh
        self.log = open(mesh.path("disturbances.log"), "w", buffering=1)
        mesh.platform = mesh.run("platform", mesh.program("fake_platform"),
                                 f"--address={mesh.platform_address}")
        while await self.store_call("/v1/test", {"generation": 1}) is None:
            await asyncio.sleep(0.05)
        self.versions.append(self.next_version(self.random("first")))
        await self.write_newest()
        for host in mesh.hosts[:FIRST_HOSTS]:
            mesh.start_node(host)
            mesh.start_backend(host)
            self.span(host.spans, "start").end = self.now()
        work = [self.write_versions(), self.disturb_store(),
                self.disturb_nodes(1), self.disturb_nodes(2), self.add_hosts(),
                self.disturb_backends(), self.keep_backends(),
                self.watch_nodes()]
        work += [self.caller(host, number) for host in mesh.hosts
                 for number in range(CALLERS_PER_HOST)]
        tasks = [asyncio.create_task(one) for one in work]
        done, _ = await asyncio.wait(tasks, timeout=self.seconds,
                                     return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        for task in done:
            task.result()  # Throws what ended it.

    def judge(self):
        """Returns the failures of the run."""
        oracles = Oracles(self.versions, BASE, self.store,
                          {host.name: host.spans for host in self.mesh.hosts})
        oracles.judge(self.requests)
        self.checks = oracles.checks
        few = [f"EMPTY: {count} checks of {name}"
               for name, count in oracles.checks.items()
               if count < LEAST_CHECKS[name] * self.seconds / 60]
        return self.failures + oracles.violations + few


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--network", type=int, default=77,
                        help="the hosts have addresses in 127.NETWORK")
    parser.add_argument("--keep_logs", action="store_true")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with Mesh(options.network, options.keep_logs) as mesh:
        soak = Soak(options.seed, options.seconds, mesh)
        asyncio.run(soak.run())
        failures = soak.judge()
        mesh.keep_logs = mesh.keep_logs or bool(failures)
        with open(mesh.path("requests.log"), "w") as file:
            file.writelines(f"{request}\n" for request in soak.requests)
    for failure in failures[:5]:
        print(f"seed={options.seed} {failure}")
    counts = " ".join(f"{name.replace(' ', '_')}={count}"
                      for name, count in sorted(soak.counts.items()))
    checks = " ".join(f"checked_{name}={count}"
                      for name, count in soak.checks.items())
    print(f"soak seed={options.seed} failures={len(failures)} {checks} "
          f"{counts}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
