"""MIXED: an answer without a length that came through another machine is taken for whole when that machine is killed."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet

BODY_BYTES = 30000
FIRST_BYTES = 12000
PAUSE_S = 0.5
# How long the endpoint accepts no connection; the others that wait there fill its queue.
STALL_S = 0.12
ROUNDS = 4
RESTART_S = 1.0


class Streaming(fleet.Endpoint):
    """Answers without a length: the end of the connection ends the answer. Its queue of new connections is short."""

    async def listen(self, port):
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.bind((fleet.HOST, port))
        self.listener.listen(0)
        self.address = f"{fleet.HOST}:{self.listener.getsockname()[1]}"
        self.accepting = asyncio.create_task(self.accept())
        self.answering = asyncio.Event()

    async def accept(self):
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            self.fleet.spawn(self.serve(*await asyncio.open_connection(sock=accepted)))

    async def stall(self):
        """For a moment, other callers' connections fill the queue, and no connection is accepted."""
        self.accepting.cancel()
        host, port = self.address.rsplit(":", 1)
        others = [socket.socket() for _ in range(3)]
        for other in others:
            other.setblocking(False)
            other.connect_ex((host, int(port)))
        await asyncio.sleep(0.01)
        self.record.write("queue-of-connections-full", endpoint=self.name)

        async def end():
            await asyncio.sleep(STALL_S)
            for other in others:
                other.close()
            self.accepting = asyncio.create_task(self.accept())
            self.record.write("connections-accepted-again", endpoint=self.name)

        self.fleet.spawn(end())

    async def work(self, request, writer):
        request_id = request[1].get(fleet.REQUEST_ID.lower(), "")
        head = f"HTTP/1.1 200 OK\r\n{fleet.REQUEST_ID}: {request_id}\r\n{fleet.SIGNATURE}: {self.instance}.{request_id}.{BODY_BYTES}\r\nConnection: close\r\n\r\n".encode()
        writer.write(head + b"a" * FIRST_BYTES)
        await writer.drain()
        self.answering.set()
        await asyncio.sleep(PAUSE_S)
        writer.write(b"b" * (BODY_BYTES - FIRST_BYTES))
        await writer.drain()
        self.record.write("answered-whole", endpoint=self.name, id=request_id)
        return None


async def case(make, trouble):
    one = make({"zone-a": 1, "zone-b": 1})
    entry, other = one.daemons
    endpoint = Streaming(one, "statements", "statements-1", "zone-a")
    one.endpoints = [endpoint]
    await one.configure([{"name": "statement", "kind": "unsafe", "prefix": "/statement/", "action": {"service": "statements"}}])
    await one.start()
    breaches = []
    for _ in range(ROUNDS):
        endpoint.answering.clear()
        await endpoint.stall()
        sending = one.spawn(fleet.send(one, entry, "POST", "/statement/1", b"all"))
        await asyncio.wait({sending, one.spawn(endpoint.answering.wait())}, return_when=asyncio.FIRST_COMPLETED)
        await asyncio.sleep(0.1)
        if trouble:
            one.record.write("killed", machine=other.name)
            other.process.send_signal(signal.SIGKILL)
            await other.process.wait()
        request_id, status, headers = await sending
        if 200 <= status < 300 and headers["body-bytes"] != BODY_BYTES:
            breaches.append(f"request {request_id} got {status} with the signature {headers.get(fleet.SIGNATURE.lower())} and {headers['body-bytes']} of {BODY_BYTES} bytes, whole by its Content-Length")
        if trouble:
            await asyncio.sleep(RESTART_S)
            await one.start_daemon(other)
            await asyncio.sleep(fleet.STABLE_WINDOW_S + 1)
    return breaches


fleet.play(HERE, case)
