"""A fault soak: real nodes and backend servers on loopback beside a stand-in of
the store, disturbances drawn from a seed, and the oracles of soak_oracles.py.

    soak.py SEED [--seconds N] [--network N] [--keep_logs]

The environment variable KUMQUATMOOR names another program to run as node. The
last line counts requests, disturbances and checks. A violation, a node that
ends by itself or is there at the end of its grace, and a run with too few checks
or without a kind of disturbance are failures; the directory with the logs of all
processes is then kept.
"""

import argparse
import asyncio
import base64
import collections
import itertools
import json
import random
import signal
import sys
import time

from soak_faults import FIRST_HOSTS, Faults
from soak_mesh import CALL_TIMEOUT_S, SERVICES, Connection, Mesh
from soak_oracles import Oracles, Request, Span, Version

BASE = {f"/base-{service}/": service for service in SERVICES}
KEPT_ROUTES = 4  # Each version adds a route, which this many versions have.
BULK_ROUTES = 1400
CALLERS_PER_HOST, CALLER_PAUSE_S = 4, 0.08
# A run of 60 s with fewer checks proves nothing.
LEAST_CHECKS = {"config": 300, "config_unstretched": 100, "downgrade": 1000,
                "denied": 2000, "added": 1}
LEAST_DISTURBANCES = ["store returns", "kill", "freeze", "cut", "stop",
                      "host added"]


class Soak(Faults):
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
        mesh.platform = mesh.run("platform", mesh.program("fake_platform"),
                                 f"--address={mesh.platform_address}")
        while await self.store_call("/v1/test", {"generation": 1}) is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        if mesh.platform.poll() is not None:
            raise RuntimeError(f"{mesh.platform_address} is in use")
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
        few += [f"EMPTY: no {kind}" for kind in LEAST_DISTURBANCES
                if self.counts[kind] == 0]
        return self.failures + oracles.violations + few


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--network", type=int, default=81,
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
        with open(mesh.path("disturbances.log"), "w") as file:
            file.writelines(
                f"{name} {span}\n"
                for name, spans in [("store", soak.store)] + [
                    (host.name, host.spans) for host in mesh.hosts]
                for span in spans)
            file.writelines(
                f"version {version.number} sent={version.sent:.3f} "
                f"acked={version.acked:.3f} routes={len(version.routes)}\n"
                for version in soak.versions)
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
