"""All nodes are killed after one has acknowledged that a target leaves. See
claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from mesh import (BOUNDS, RESTART_DELAY_S, CannotRun, Client, ask, route,
                  run_case)

MACHINES = [("z-a", "history"), ("z-a", "history"), ("z-b", "history"),
            ("z-b", "history")]
WORK_S = {"history": 0.3}
CALLERS_PER_MACHINE = 4
KILLED_AFTER_S = 0.5   # After the ack.
LATE_S = 4.6           # By which the report before that arrives late.
SERVES_ON_S = 9.0      # The target, after the ack.
SLACK_S = 0.1          # Of the times of this script.


async def play(mesh, trouble):
    record = mesh.record
    mesh.write_config({"r-read": route("/history/", "history")})
    await mesh.start_all(WORK_S)
    begun = record.now()
    first = mesh.machines[0]
    target = first.target

    answers, stopping = [], False

    async def caller(machine, name):
        client = Client(machine, name)
        while not stopping:
            answers.append(await client.call("GET", f"/history/{name}"))
            await asyncio.sleep(0.05)
        client.close()

    tasks = [asyncio.create_task(caller(machine, f"{machine.name}-c{i}"))
             for machine in mesh.machines for i in range(CALLERS_PER_MACHINE)]
    await asyncio.sleep(BOUNDS["stableWindowS"] + 1.5)
    if not target.runs:
        raise CannotRun("the target gets no requests")

    # The target leaves; it says so without reporting "draining" before.
    target.stop_beats()
    late = target.report()  # Sent now, and held up on its way.
    sent = record.now()
    record.line("liveness_sent", id=target.id, sequence=late["sequence"])
    target.leaving = True
    status, _ = await ask(first.at("control"), "DELETE",
                          f"/-/instances/{target.id}")
    acked = record.now()
    record.line("deregistered", id=target.id, status=status)
    if status != 200:
        raise CannotRun(f"the deregistration got {status}")

    # The disruption: all processes are killed at once, and started again.
    await asyncio.sleep(KILLED_AFTER_S)
    if trouble:
        for machine in mesh.machines:
            machine.kill("disruption: herd_kill")
        await asyncio.sleep(RESTART_DELAY_S)
        for machine in mesh.machines:
            machine.start()

    await asyncio.sleep(max(0, sent + LATE_S - record.now()))
    status = await target.send_report(late)
    record.line("late_liveness", id=target.id, sequence=late["sequence"],
                status=status, late_s=f"{record.now() - sent:.2f}")
    await asyncio.sleep(max(0, acked + SERVES_ON_S - record.now()))
    stopping = True
    await asyncio.wait(tasks, timeout=6)

    # In touch: no start in the last stableWindowS. The store is not disturbed.
    def in_touch(machine, at):
        return (at - begun >= BOUNDS["stableWindowS"] and
                at - machine.starts[-1] >= BOUNDS["stableWindowS"])
    sent_by_id = {a.id: a for a in answers}
    late_runs = []
    for at, request_id, *_ in target.runs:
        answer = sent_by_id.get(request_id)
        if answer is None:
            continue
        if answer.sent <= acked + BOUNDS["drainS"] + SLACK_S:
            continue
        if in_touch(answer.machine, answer.sent) and in_touch(first, at):
            late_runs.append((at, request_id))
            record.line("ran_after_drain", id=request_id,
                        after_ack_s=f"{answer.sent - acked:.2f}",
                        taken_by=answer.machine.name)
    last = f"{late_runs[-1][0] - acked:.2f}" if late_runs else "-"
    return (len(late_runs) > 0,
            f"requests at the target later than drainS after the ack="
            f"{len(late_runs)} last_s_after_ack={last} "
            f"restarts={len(first.starts) - 1} answers={len(answers)} "
            f"served={sum(a.outcome == '200' for a in answers)}")


run_case(HERE, MACHINES, play)
