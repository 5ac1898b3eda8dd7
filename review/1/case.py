"""A target answers with a head without end. See claim.txt."""

import asyncio
import os
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from mesh import ID, LIMITS, RESTART_DELAY_S, Client, CannotRun, route, run_case

MACHINES = [("z-a", "manifests"), ("z-a", "history"), ("z-b", "history"),
            ("z-b", "history")]
WORK_S = {"manifests": 0.05, "history": 0.8}
CALLERS = 16       # On the machine of the odd target, on kept connections.
ODD_ANSWERS = 9    # At most; one for each slot.
ODD_ONE_IN = 50    # The dose of garble, x = 0.02.
MAX_ENDLESS_BYTES = 400 << 20  # Bounds what it writes for one answer.
IN_TOUCH_S = 3     # stableWindowS
ALLOWED = 3        # LOST: "more than three times"
# Eleven fields of 186 bytes, 2,046 in all. A connection of a node reads at most
# 2,048 bytes at a time, so what it holds always ends as a part does.
PATTERN = (b"a:" + b"x" * 182 + b"\r\n") * 11
FIRST_PATTERNS, MOST_PATTERNS = 4, 40  # Of a part.
PART_PAUSE_S = 0.001
WATCH_S = 14
DEADLINE_MS = 12_000


def write_head(connection):
    """Writes a head without end, a part at a time. Each part ends two bytes
    after the begin of a line."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setblocking(True)
    connection.settimeout(5)
    sent = 0
    with connection:
        try:
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + PATTERN[:2])
            patterns = float(FIRST_PATTERNS)
            while sent < MAX_ENDLESS_BYTES:
                time.sleep(PART_PAUSE_S)
                part = PATTERN[2:] + PATTERN * (int(patterns) - 1)
                connection.sendall(part + PATTERN[:2])
                sent += len(part) + 2
                patterns = min(MOST_PATTERNS, patterns * 1.01)
        except OSError:
            pass
    return sent


async def play(mesh, trouble):
    record = mesh.record
    mesh.write_config({"r-download": route("/manifest/", "manifests",
                                              timeout_s=6),
                       "r-read": route("/history/", "history")})
    await mesh.start_all(WORK_S)
    begun = record.now()
    first = mesh.machines[0]
    odd = first.target
    odd_answers = 0

    async def answer(target, request, writer):
        """Spoils some answers: the head has one short field after another,
        until the connection is closed."""
        nonlocal odd_answers
        is_odd = len(target.runs) % ODD_ONE_IN == 0
        if (not trouble or not is_odd or odd_answers >= ODD_ANSWERS
                or first.ends):
            return None
        odd_answers += 1
        record.line("endless_head", id=request.get(ID),
                    processor_s=f"{first.processor_s():.2f}")
        await writer.drain()
        file = os.dup(writer.get_extra_info("socket").fileno())
        sent = await asyncio.to_thread(write_head, socket.socket(fileno=file))
        record.line("endless_head_ended", bytes=sent)
        return False
    odd.custom = answer

    answers, stopping = [], False

    async def caller(machine, name, path, pause):
        client = Client(machine, name)
        while not stopping:
            answers.append(await client.call("GET", path, DEADLINE_MS))
            await asyncio.sleep(pause)
        client.close()

    # Until every route serves.
    probe = Client(first, "probe")
    end = record.now() + 10
    while True:
        seen = [(await probe.call("GET", path)).outcome
                for path in ("/history/a", "/manifest/a")]
        if seen == ["200", "200"]:
            break
        if record.now() > end:
            raise CannotRun(f"the routes are not served: {seen}")
        await asyncio.sleep(0.2)
    probe.close()
    await asyncio.sleep(max(0, begun + IN_TOUCH_S + 0.5 - record.now()))

    tasks = [asyncio.create_task(caller(first, f"read-{i}", f"/history/{i}",
                                        0.02)) for i in range(CALLERS)]
    await asyncio.sleep(2)
    tasks += [asyncio.create_task(caller(
        mesh.machines[1 + i % 3], f"download-{i}", f"/manifest/{i}", 0.05))
        for i in range(6)]
    peak, killed_at = {}, None
    end = record.now() + WATCH_S
    while record.now() < end:
        await asyncio.sleep(0.01)
        for machine in mesh.machines:
            used = machine.anonymous_memory_mb()
            peak[machine.name] = max(peak.get(machine.name, 0), used)
            # As the platform does: "A process that exceeds memoryMb is killed".
            if used > LIMITS["memoryMb"] or machine.process.poll() is not None:
                record.line("memory", machine=machine.name, mb=f"{used:.0f}",
                            processor_s=f"{machine.processor_s():.2f}")
                machine.kill("memory over memoryMb")
                if killed_at is None and machine is first:
                    killed_at = record.now()
                    end = min(end, record.now() + 3)
                await asyncio.sleep(RESTART_DELAY_S)
                machine.start()
    stopping = True
    await asyncio.wait(tasks, timeout=6)

    ran = {}
    for machine in mesh.machines:
        if machine is not first:
            for run in machine.target.runs:
                ran[run[1]] = run[0]
    # Closed without an answer, on a kept connection of the first machine, once
    # it had been passed on to a sound target.
    lost = [a for a in answers if a.machine is first and a.kept
            and a.outcome == "closed" and a.id in ran
            and killed_at is not None and a.ended <= killed_at + 0.5]
    for one in lost:
        record.line("lost", id=one.id, ran_at=f"{ran[one.id]:.3f}",
                    closed_at=f"{one.ended:.3f}")
    ends = {m.name: len(m.ends) for m in mesh.machines if m.ends}
    peaks = " ".join(f"{name}={mb:.0f}" for name, mb in peak.items())
    for name, mb in peak.items():
        record.line("peak", machine=name, mb=f"{mb:.0f}")
    return (len(lost) > ALLOWED,
            f"lost={len(lost)} (allowed {ALLOWED}) process_ends={ends} "
            f"odd_answers={odd_answers} peak_mb: {peaks} "
            f"answers={len(answers)} served="
            f"{sum(a.outcome == '200' for a in answers)}")


run_case(HERE, MACHINES, play)
