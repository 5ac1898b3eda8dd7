"""The processes of tools/soak.py and its callers' connections."""

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile

from cluster import (BACKEND_PORT, CALLER_PORT, PLATFORM_PORT, ROOT, Cluster,
                     Host)

ALL_HOSTS, ZONES = 8, 2
SERVICES = ["bookings", "listings", "reports"]
GRACE_S, HEARTBEAT_S = 6, 1.5
CALL_TIMEOUT_S = 3


def settings_of(host, zone, platform):
    """Fills in deploy/node.json.template as the platform does."""
    values = {
        "node": host.name, "zone": zone, "ip": host.address,
        "listen.outbound": host.at(CALLER_PORT),
        "listen.inbound": host.at(7001),
        "listen.ready": host.at(7005), "listen.control": host.at(7004),
        "portRange.0": 7002, "portRange.1": 7003, "platform.address": platform,
        "heartbeatS": HEARTBEAT_S, "service": host.service,
        "appAddr": host.at(BACKEND_PORT), "bounds.budgetRatio": 0.2,
        "bounds.graceS": GRACE_S, "limits.linkMbps": 1000.0,
        "limits.memoryMb": 260, "bounds.revokeEverywhere": False}
    with open(os.path.join(ROOT, "deploy/node.json.template")) as file:
        text = re.sub(
            r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
            lambda m: m[2] if values[m[1]] else "", file.read(), flags=re.S)
    return re.sub(
        r"\{\{([\w.]+)(\|json)?\}\}",
        lambda m: json.dumps(values[m[1]]) if m[2] else str(values[m[1]]),
        text)


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
