"""HEAD requests that a node itself answers, on connections that carry other
requests afterwards. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from mesh import BOUNDS, SIGNATURE, CannotRun, Client, route, run_case

MACHINES = [("z-a", "history"), ("z-a", "reservations"), ("z-b", "history"),
            ("z-b", "reservations")]
WORK_S = {"history": 0.05, "reservations": 0.1}
ROUNDS = 25  # Of one HEAD and one POST on the connection of each client.


async def serve_until(mesh, wanted):
    client = Client(mesh.machines[0], "probe")
    end = mesh.record.now() + 10
    while True:
        seen = [(await client.call(method, path)).outcome
                for method, path in wanted]
        if all(outcome == "200" for outcome in seen):
            client.close()
            return
        if mesh.record.now() > end:
            raise CannotRun(f"not served: {seen}")
        await asyncio.sleep(0.2)


async def play(mesh, trouble):
    record = mesh.record
    routes = {"r-read": route("/history/", "history"),
              "r-old": route("/archive/", "history"),
              "r-book": route("/booking/", "reservations",
                              kind="non_idempotent")}
    mesh.write_config(routes)
    await mesh.start_all(WORK_S)
    await serve_until(mesh, [("HEAD", "/archive/a"), ("GET", "/history/a"),
                             ("POST", "/booking/probe")])
    await asyncio.sleep(BOUNDS["stableWindowS"])

    # The disruption: a configuration that removes a route.
    if trouble:
        del routes["r-old"]
    mesh.write_config(routes)
    await asyncio.sleep(BOUNDS["configApplyS"] + 1)

    ran = {}
    for machine in mesh.machines:
        machine.target.runs.clear()
    heads, bookings = [], []

    async def caller(machine, name):
        client = Client(machine, name)
        for i in range(ROUNDS):
            heads.append(await client.call("HEAD", f"/archive/{name}-{i}"))
            bookings.append(await client.call("POST", f"/booking/{name}-{i}",
                                              body=b"bay 7"))
            await asyncio.sleep(0.05)
        client.close()

    await asyncio.gather(*(caller(machine, f"{machine.name}-c")
                           for machine in mesh.machines))
    for machine in mesh.machines:
        for run in machine.target.runs:
            ran[run[1]] = run
    # What stood where the response had to begin is no status line.
    garbled = [a for a in bookings
               if a.outcome == "no_answer_in_the_protocol"]
    for answer in garbled:
        record.line("no_answer", id=answer.id, ran=int(answer.id in ran),
                    seen=answer.body.decode())
    # Of the bookings that got no answer at all on a kept connection.
    lost = [a for a in bookings if a.outcome in ("closed", "timeout")]
    statuses = {}
    for answer in heads:
        statuses[answer.outcome] = statuses.get(answer.outcome, 0) + 1
    return (len(garbled) > 0,
            f"bookings={len(bookings)} answered with bytes that are no "
            f"answer={len(garbled)}, of which ran="
            f"{sum(a.id in ran for a in garbled)} closed_or_timeout="
            f"{len(lost)} heads={statuses}")


run_case(HERE, MACHINES, play)
