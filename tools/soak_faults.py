"""The disturbances of tools/soak.py. Each stream draws from the seed on its
own, so disturbances of the store, of nodes and of backend servers overlap.
"""

import asyncio
import signal

from soak_mesh import GRACE_S, Connection

FIRST_HOSTS = 6
REUSE_AFTER_S, RESTART_S = 2, 0.5


class Faults:
    """Base of Soak, whose members it uses."""

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
                work = []
                if several:  # Some have pushed it, some have not, when frozen.
                    work.append(asyncio.create_task(self.write_version(rng)))
                    await asyncio.sleep(rng.uniform(0, 0.1))
                work += [kind(host, rng) for host in hosts]
                await asyncio.gather(*work)
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
        """Returns False if a node did not take its rules: it is frozen, ends
        or starts."""
        done = True
        for other in self.mesh.running():
            cut = ([h for h in self.mesh.hosts if h is not host]
                   if other is host else [host])
            rules = [{"kind": "cut", "address": h.address} for h in cut]
            try:
                await asyncio.to_thread(self.mesh.set_faults, other,
                                        rules if on else [])
            except RuntimeError:
                done = False
        return done

    async def cut(self, host, rng):
        span = self.span(host.spans, "cut")
        await self.set_cut(host, True)
        await asyncio.sleep(rng.uniform(1, 4))
        while not await self.set_cut(host, False):
            await asyncio.sleep(0.2)
        span.end = self.now()

    async def stop_series(self, host, rng):
        for _ in range(rng.choice([1, 2])):
            span = self.span(host.spans, "stop")
            host.node.send_signal(signal.SIGTERM)
            end = self.now() + GRACE_S
            while host.node.poll() is None and self.now() < end:
                await asyncio.sleep(0.02)
            if host.node.poll() is None:
                self.failures.append(f"GRACE: t={self.now():.3f} node={host.name} "
                                     "is there at the end of its grace")
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
