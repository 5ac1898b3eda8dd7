"""A backend server for tools/soak.py: announces itself to the node of its host
and serves requests, one at a time on a connection.

    soak_backend.py ADDRESS ANNOUNCE_ADDRESS SERVICE INSTANCE HEARTBEAT_S

It reads commands from standard input, one a line:

    limit R     Names the limit R in all responses; "limit 0" ends that.
    leave HOW   Leaves by HOW: "draining" (announced), "delete" (DELETE first)
                or "header" (Server-Leaving in all responses); then exits.

Paths that end in "crash" end the process, those that end in "endless" get a
response without end.
"""

import asyncio
import json
import os
import sys
import time

DRAIN_S, MORE_S = 2, 1  # It serves that long after it said that it leaves.
SLOTS = 8


class Backend:
    def __init__(self, address, announce, service, instance, heartbeat_s):
        self.address, self.announce_address = address, announce
        self.service, self.instance = service, instance
        self.heartbeat_s = float(heartbeat_s)
        self.born = int(time.time() * 1000)
        self.sequence, self.count, self.running = 0, 0, 0
        self.state, self.extra = "ready", ""

    async def call_node(self, method, body):
        """Returns True if the node acknowledged the call."""
        host, port = self.announce_address.split(":")
        text = json.dumps(body)
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(
                    f"{method} /-/instances/{self.instance} HTTP/1.1\r\n"
                    f"Host: {host}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
                status = await reader.readline()
                writer.close()
                return status.split()[1].startswith(b"2")
        except (OSError, TimeoutError, IndexError):
            return False

    async def announce(self):
        self.sequence += 1
        return await self.call_node("PUT", {
            "service": self.service, "address": self.address, "zone": "z",
            "version": "v1", "slots": SLOTS, "state": self.state,
            "coldLeftS": 0, "sequence": self.sequence, "born": self.born})

    async def announce_always(self):
        while True:
            done = await self.announce()
            await asyncio.sleep(self.heartbeat_s if done else 0.3)

    async def delete(self):
        self.sequence += 1
        await self.call_node("DELETE", {"sequence": self.sequence,
                                        "born": self.born})

    async def leave(self, how, announcing):
        if how == "draining":
            self.state = "draining"
            await self.announce()
        elif how == "delete":
            announcing.cancel()
            await self.delete()
        else:
            self.extra += "Server-Leaving: 1\r\n"
        await asyncio.sleep(DRAIN_S + MORE_S)
        announcing.cancel()
        if how != "delete":
            await self.delete()
        os._exit(0)

    async def commands(self):
        announcing = asyncio.create_task(self.announce_always())
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := (await reader.readline()).decode().split():
            if line[0] == "limit":
                limited = f"Server-Limit: {line[1]}\r\n"
                self.extra = limited if line[1] != "0" else ""
            elif line[0] == "leave":
                asyncio.create_task(self.leave(line[1], announcing))
        os._exit(0)  # The soak is gone.

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request, *lines = head.split("\r\n")
                fields = {name.lower(): value.strip() for name, _, value in
                          (line.partition(":") for line in lines)}
                await reader.readexactly(int(fields.get("content-length", 0)))
                await self.respond(request.split()[1], fields, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def respond(self, path, fields, writer):
        request_id = fields.get("x-kumquatmoor-attempt-id", "")
        expected = fields.get("x-kumquatmoor-expect-instance", self.instance)
        status, headers, body = "200 OK", self.extra, ""
        if path == "/health":
            headers += f"X-Kumquatmoor-Instance-Id: {self.instance}\r\n"
        elif expected != self.instance:
            status = "421 Misdirected Request"
            headers += "X-Kumquatmoor-Not-Executed: 1\r\n"
        elif path.endswith("crash"):
            os._exit(1)
        else:
            self.count += 1
            body = f"{self.service} {self.instance} {request_id}"
            headers += ("X-Kumquatmoor-Response-Signature: "
                        f"{self.instance}.{self.count}\r\n")
            await asyncio.sleep(0.005)
        headers += f"X-Kumquatmoor-Attempt-Id: {request_id}\r\n"
        if path.endswith("endless"):
            await self.send_without_end(headers, writer)
        writer.write(f"HTTP/1.1 {status}\r\n{headers}"
                     f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        await writer.drain()

    async def send_without_end(self, headers, writer):
        in_head = self.count % 2 == 0
        writer.write(f"HTTP/1.1 200 OK\r\n{headers}".encode())
        if not in_head:
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        part = (b"X-More: 1\r\n" if in_head else b"4\r\nmore\r\n") * 500
        while True:  # The peer closes.
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)


async def main(arguments):
    backend = Backend(*arguments)
    host, port = backend.address.split(":")
    await asyncio.start_server(backend.serve, host, int(port))
    await backend.commands()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
