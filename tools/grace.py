"""Plays the planned stop of one node: SIGTERM, and SIGKILL at the end of the
grace. Callers send requests throughout, on connections that were open before
and on new ones. For each request it is recorded what its caller saw, and
whether the backend server ran it.

    report = play(cluster, Plan(node=..., grace_s=6))
    report.cut, report.false_refusals, report.broken_off

Run times are chosen by the path ("?ms=N" of fake_backend).
"""

import asyncio
import dataclasses
import random
import signal
import socket
import time

from cluster import CALLER_PORT

# A request whose connection ends within this time after its last byte may have
# crossed the end of the connection.
CROSSING_S = 0.2
# Later requests must not be broken off: their callers were told in time.
LAST_BREAK_OFF_S = 3
WARM_UP_RUNS = 5
CONNECTIONS = ("open", "early", "new")


@dataclasses.dataclass
class Kind:
    """A kind of request. `usual_ms` is the run time that the node has seen
    before the stop, `run_ms` that during it."""
    name: str
    method: str
    run_ms: int
    deadline_ms: int
    usual_ms: int = 0
    body_bytes: int = 0
    body_s: float = 0
    answer_bytes: int = 0
    read_s: float = 0

    def path(self, run_ms):
        size = f"&size={self.answer_bytes}" if self.answer_bytes else ""
        return f"/bookings/{self.name}?ms={run_ms}{size}"


KINDS = [
    Kind("short-write", "POST", 120, 1500),
    Kind("short-read", "GET", 90, 1200),
    Kind("report", "GET", 640, 12000),
    Kind("long-write", "POST", 2500, 12000),
    Kind("stalled-write", "POST", 30000, 4000, usual_ms=120),
    Kind("stalled-read", "GET", 30000, 12000, usual_ms=120),
    Kind("slow-body", "POST", 100, 4000, body_bytes=2000, body_s=1),
    Kind("slow-upload", "POST", 100, 12000, body_bytes=300000, body_s=1.5),
    Kind("slow-reader", "GET", 300, 4000, answer_bytes=900000, read_s=1),
    Kind("slow-download", "GET", 300, 12000, answer_bytes=3000000, read_s=1),
]


@dataclasses.dataclass
class Outcome:
    """What the caller of one request saw. Times are seconds after SIGTERM."""
    kind: str
    method: str
    request_id: str
    connection: str
    sent: float
    deadline: float
    last_byte: float = -1  # -1: the request was not sent completely.
    ended: float = -1
    status: int = 0  # 0: no complete response.
    verdict: str = ""
    close: bool = False
    ran: bool = False

    @property
    def outcome(self):
        if self.last_byte == -1:
            return "not sent"
        if self.status == 0:
            crossed = self.ended - self.last_byte < CROSSING_S
            return "crossed" if crossed and not self.ran else "cut"
        return {200: "ok", 503: "refused"}.get(self.status, "may have run")


class Caller:
    """A connection of a caller. Its times are those of time.monotonic()."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def connect(self, limit=2**16):
        host, port = self.address.split(":")
        link = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Small, so that a caller that does not read holds up the response.
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, limit)
        link.setblocking(False)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(link,
                                                        (host, int(port))), 1)
        except BaseException:
            link.close()
            raise
        self.reader, self.writer = await asyncio.open_connection(
            sock=link, limit=2**12)

    async def call(self, kind, request_id, run_ms, connection):
        sent = time.monotonic()
        outcome = Outcome(kind.name, kind.method, request_id, connection, sent,
                          sent + kind.deadline_ms / 1000)
        try:
            if self.writer is None:
                await self.connect()
            await self.send(kind, request_id, run_ms)
            outcome.last_byte = time.monotonic()
            await asyncio.wait_for(self.receive(kind, outcome), 20)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        outcome.ended = time.monotonic()
        return outcome

    async def send(self, kind, request_id, run_ms):
        head = (f"{kind.method} {kind.path(run_ms)} HTTP/1.1\r\nHost: h\r\n"
                f"Kumquatmoor-Request-Id: {request_id}\r\n"
                f"Kumquatmoor-Deadline-Ms: {kind.deadline_ms}\r\n")
        if kind.method == "POST":
            head += f"Content-Length: {kind.body_bytes}\r\n"
        self.writer.write(head.encode() + b"\r\n")
        parts = 10 if kind.body_s else 1
        for _ in range(parts if kind.body_bytes else 0):
            await self.writer.drain()
            await asyncio.sleep(kind.body_s / parts)
            self.writer.write(b"b" * (kind.body_bytes // parts))
        await self.writer.drain()

    async def receive(self, kind, outcome):
        head = await self.reader.readuntil(b"\r\n\r\n")
        status, *lines = head.decode().split("\r\n")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        left = int(fields["content-length"])
        pause = 0
        if kind.read_s and int(status.split()[1]) == 200:
            pause = kind.read_s / 10
        part = max(1, left // 10)
        while left > 0:
            await asyncio.sleep(pause)
            size = min(left, part)
            await self.reader.readexactly(size)
            left -= size
        outcome.status = int(status.split()[1])
        outcome.verdict = fields.get("kumquatmoor-verdict", "")
        outcome.close = fields.get("connection", "").lower() == "close"

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()


@dataclasses.dataclass
class Plan:
    node: object
    grace_s: float = 6
    step_s: float = 0.1
    first_s: float = -1  # The first request, before SIGTERM.
    kinds: list = dataclasses.field(default_factory=lambda: list(KINDS))
    # Other processes that get SIGTERM at the same time.
    also: list = dataclasses.field(default_factory=list)


class Report:
    def __init__(self, plan, outcomes, exit_s):
        self.plan, self.outcomes, self.exit_s = plan, outcomes, exit_s
        self.cut = [o for o in outcomes if o.outcome == "cut"]
        self.false_refusals = [o for o in outcomes
                               if o.outcome == "refused" and o.ran]
        # Responses of the node in place of a target at work, before the time
        # budget of the request, that the grace does not explain.
        self.broken_off = [
            o for o in outcomes
            if o.outcome == "may have run" and (o.ran or o.method == "GET") and
            o.ended < o.deadline - 0.1 and
            (o.sent > LAST_BREAK_OFF_S or o.ended < plan.grace_s * 5 / 6)]

    def text(self):
        lines = [f"exit after {self.exit_s:.2f} s of {self.plan.grace_s} s"]
        for kind in self.plan.kinds:
            counts = {}
            for o in self.outcomes:
                if o.kind == kind.name:
                    counts[o.outcome] = counts.get(o.outcome, 0) + 1
            lines.append(f"{kind.name}: " + " ".join(
                f"{name}={count}" for name, count in sorted(counts.items())))
        crossed = [o for o in self.outcomes if o.outcome == "crossed"]
        lines += [f"  crossed {o.kind} {o.connection} sent={o.sent:.2f} "
                  f"last_byte={o.last_byte:.2f} ended={o.ended:.2f}"
                  for o in crossed[:12]]
        for name in ("cut", "false_refusals", "broken_off"):
            found = getattr(self, name)
            ran = sum(o.ran and o.method == "POST" for o in found)
            lines.append(f"{name}: {len(found)} ({ran} writes that ran)")
            lines += [f"  {o.kind} {o.connection} sent={o.sent:.2f} "
                      f"last_byte={o.last_byte:.2f} ended={o.ended:.2f} "
                      f"status={o.status} ran={o.ran}" for o in found[:12]]
        return "\n".join(lines)


async def play_async(cluster, plan):
    address = plan.node.at(CALLER_PORT)
    for kind in plan.kinds:
        usual = kind.usual_ms or kind.run_ms
        outcomes = await asyncio.gather(*[
            Caller(address).call(kind, f"warm-{kind.name}-{i}", usual, "new")
            for i in range(WARM_UP_RUNS)])
        failed = [o for o in outcomes if o.status != 200]
        if failed:
            raise RuntimeError(f"before the stop: {failed[0]}")
    steps = int((plan.grace_s - plan.first_s) / plan.step_s)
    times = [plan.first_s + plan.step_s * i for i in range(steps)]
    rng = random.Random(1)
    start = time.monotonic() + 1.5 - plan.first_s
    tasks = [
        asyncio.create_task(one_call(
            Caller(address), kind, start,
            start + at + rng.uniform(0, plan.step_s), connection,
            f"{kind.name}-{connection}-{at:.1f}"))
        for at in times for kind in plan.kinds for connection in CONNECTIONS]
    await asyncio.sleep(start - time.monotonic())
    start = time.monotonic()
    for process in [plan.node.node, *plan.also]:
        process.send_signal(signal.SIGTERM)
    exit_s = None
    while exit_s is None and time.monotonic() - start < plan.grace_s:
        await asyncio.sleep(0.01)
        if plan.node.node.poll() is not None:
            exit_s = time.monotonic() - start
    if exit_s is None:
        plan.node.node.kill()
        exit_s = plan.grace_s
    outcomes = await asyncio.gather(*tasks)
    runs = cluster.runs()
    for outcome in outcomes:
        for name in ("sent", "deadline", "last_byte", "ended"):
            value = getattr(outcome, name)
            setattr(outcome, name, value - start if value > 0 else value)
        outcome.ran = runs.get(outcome.request_id, 0) > 0
    return Report(plan, outcomes, exit_s)


async def one_call(caller, kind, start, at, connection, request_id):
    """Sends a request at a time: on a connection that had another request
    shortly before SIGTERM ("open"), on one that was made half a second before
    ("early"), or on a new one. `start` is the time of SIGTERM."""
    not_sent = Outcome(kind.name, kind.method, request_id, connection, at, at)
    try:
        if connection == "open":
            await asyncio.sleep(min(at - 0.45, start - 0.2) - time.monotonic())
            warm = Kind("open", "GET", 1, 2000)
            first = await caller.call(warm, request_id + "-warm", 1, "open")
            if first.close or first.status == 0:
                return not_sent
        elif connection == "early":
            await asyncio.sleep(at - 0.45 - time.monotonic())
            await caller.connect()
        await asyncio.sleep(at - time.monotonic())
        return await caller.call(kind, request_id, kind.run_ms, connection)
    except (OSError, asyncio.TimeoutError):
        return not_sent
    finally:
        caller.close()


def play(cluster, plan):
    return asyncio.run(play_async(cluster, plan))
