"""What the scripts of the second review share: a small fleet of the project's daemons as separate processes, and stand-ins
of the platform's store, of endpoints and of clients. All addresses are loopback addresses."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "platform" / "soak"))
import http1  # noqa: E402  the project's own message reader of the soak
import store as soak_store  # noqa: E402  the project's own stand-in of the store

ID, LEFT, PROOF = http1.REQUEST_ID, http1.TIME_LEFT, http1.SIGNATURE
# Bounds of the site file `sites/batinah-coop.toml`.
DRAIN, STABLE, CONFIG_APPLY, GRACE = 2.0, 3.0, 2.0, 6.0
HEARTBEAT = 1.5
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


# Below the range from which connections get their ports.
PORTS = range(10_000, 32_000)
used_ports = set()


def free_address(host="127.0.0.1"):
    """Returns an address whose port is free for TCP and UDP."""
    while True:
        port = random.SystemRandom().choice(PORTS)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        if port not in used_ports:
            used_ports.add(port)
            return f"{host}:{port}"


class Store(soak_store.Store):
    """The soak's store, with a hook for what an entry looks like in a response."""

    def __init__(self, record):
        super().__init__(HEARTBEAT)
        self.record_line = record
        self.address = free_address()

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=1000)
        self.expiry = asyncio.create_task(self.expire())

    async def put(self, kind, name, spec):
        """Writes an object as a client of the store does; the return is the acknowledgement."""
        body = {"metadata": {"name": name, "finalizers": []}, "spec": spec}
        return await self.write(kind, name, body, create=name not in self.objects.get(kind, {}))


class Endpoint:
    """A sound endpoint: `slots` requests at once, a short queue, a heartbeat to the store. It runs in this process; `crash`
    resets its connections as the end of a process does."""

    def __init__(self, fleet, name, service, zone, work, slots=2):
        self.fleet, self.name, self.service, self.zone, self.work, self.slots = fleet, name, service, zone, work, slots
        self.address = free_address()
        self.instance = "i-" + name
        self.state, self.leaving, self.listed = "ready", False, True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers = set()
        self.handlers = set()
        self.server = None

    def note(self, event, **fields):
        self.fleet.note("endpoint", event, endpoint=self.name, service=self.service, **fields)

    async def start(self):
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=400)
        self.beating = asyncio.create_task(self.beat())

    def spec(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "coldRemaining": "0ms", "sequence": self.sequence, "born": self.born}

    async def write_entry(self):
        self.sequence += 1
        await self.fleet.store.put("servers", self.instance, self.spec())

    async def beat(self):
        while True:
            if self.listed:
                await self.write_entry()
            await asyncio.sleep(HEARTBEAT)

    async def work_on(self, request_id, start, headers, body):
        await asyncio.sleep(self.work)
        return 200

    async def handle(self, start, headers, body):
        request_id = headers.get(ID.lower(), "")
        if start.startswith("GET /health"):
            return http1.response(200 if self.state == "ready" else 503, {http1.INSTANCE: self.instance})
        expected = headers.get(http1.EXPECTED_INSTANCE.lower(), self.instance)
        self.note("arrived", id=request_id, expected=expected, path=start.split(" ")[1])
        marks = {http1.LEAVING: 1} if self.leaving else {}
        if expected != self.instance:
            return http1.response(421, {http1.INSTANCE: self.instance, ID: request_id, **marks})
        if self.free.locked() and self.waiting >= 8:
            return http1.response(503, {http1.NOT_EXECUTED: 1, ID: request_id, **marks})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.note("run", id=request_id)
            status = await self.work_on(request_id, start, headers, body)
            self.note("answered", id=request_id, status=status, leaving=self.leaving)
            return http1.response(status, {ID: request_id, PROOF: f"{self.instance}.{request_id}", "Keep-Alive": "timeout=5", **marks}, b"x" * 200)
        finally:
            self.free.release()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.handlers.add(asyncio.current_task())
        try:
            received = await http1.read_message(reader)
            while received:
                working = asyncio.create_task(self.handle(*received))
                following = asyncio.create_task(http1.read_message(reader))
                await asyncio.wait({working, following}, return_when=asyncio.FIRST_COMPLETED)
                if not working.done() and (following.exception() or following.result() is None):
                    working.cancel()
                    return
                writer.write(await working)
                await writer.drain()
                received = await following
        except http1.BROKEN:
            pass
        finally:
            self.writers.discard(writer)
            self.handlers.discard(asyncio.current_task())
            writer.close()

    async def end(self, event="ended"):
        """Ends the process: its port rejects connections and the open ones are reset."""
        self.note(event)
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for handler in list(self.handlers):
            handler.cancel()


class Link:
    """A TCP link to an address. Its open connections can go silent for good, without a reset; new ones work."""

    def __init__(self, target):
        self.address, self.target = free_address(), target
        self.generation = 0

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=400)

    def silence(self):
        self.generation += 1

    async def serve(self, reader, writer):
        generation = self.generation
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return

        async def pass_on(source, sink):
            try:
                while data := await source.read(65536):
                    if generation == self.generation:
                        sink.write(data)
                        await sink.drain()
            except OSError:
                pass
            if generation == self.generation:
                sink.close()
        await asyncio.gather(pass_on(reader, far_writer), pass_on(far_reader, writer))


class Daemon:
    def __init__(self, fleet, name, zone):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.caller, self.ready, self.peer, self.metrics = (free_address() for _ in range(4))
        self.process = None
        self.starts = 0

    async def start(self, bootstrap=False):
        """Starts the daemon by the command of the deploy file, with the settings that its template gives."""
        settings = {"vm": self.name, "failureDomain": self.zone, "callerAddress": self.caller, "readyAddress": self.ready, "peerAddress": self.peer,
            "metricsAddress": self.metrics, "storeAddress": self.fleet.store_address_for(self), "linkMbps": 1000.0, "fleetStage": "starting" if bootstrap else "running",
            "terms": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"], "stopGrace": f"{GRACE:g}s", "retryRatio": 0.2, "retryBurst": 56}
        path = self.fleet.state / f"{self.name}.jsonc"
        path.write_text(json.dumps(settings))
        self.starts += 1
        with open(self.fleet.state / f"{self.name}-{self.starts}.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(*self.fleet.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "FLAMINGOWICK_BOOT": str(path)})
        self.fleet.note("runner", "daemon-started", daemon=self.name)

    def signal(self, number):
        self.fleet.note("runner", "signal", daemon=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def log_lines(self):
        """Yields the lines that the daemon has logged in all its lives."""
        for number in range(1, self.starts + 1):
            for line in (self.fleet.state / f"{self.name}-{number}.log").read_text(errors="replace").splitlines():
                if line.startswith("{"):
                    yield json.loads(line)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            host, port = self.ready.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(http1.message("GET /flamingowick/ready HTTP/1.1", {"Host": host, "Connection": "close"}))
            answer = await asyncio.wait_for(http1.read_message(reader), 1)
            writer.close()
            return answer is not None and answer[0].split(" ")[1] == "200"
        except http1.BROKEN:
            return False

    async def await_ready(self, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Fleet:
    """The parts of one run, and its record."""

    def __init__(self, folder, kinds, daemons=3, store=Store):
        self.folder = pathlib.Path(folder)
        self.state = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.lines = []
        self.began = time.monotonic()
        self.kinds = kinds
        self.services = sorted({service for kind in kinds for service in ([kind["service"]] if "service" in kind else [])})
        self.store = store(self.note)
        self.daemons = [Daemon(self, f"vm-{number}", f"zone-{number}") for number in range(1, daemons + 1)]
        self.endpoints = []
        self.number = 0
        self.tasks = set()
        run = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["proxy"]["run"]
        self.command = [str(ROOT / part) if part.startswith("target/") else part for part in run.split(" ")]
        self.random = random.Random(1)

    def store_address_for(self, daemon):
        return self.store.address

    def now(self):
        return round(time.monotonic() - self.began, 3)

    def note(self, who, event, **fields):
        self.lines.append({"t": self.now(), "who": who, "event": event, **fields})

    def find(self, event, **fields):
        return [line for line in self.lines if line["event"] == event and all(line.get(name) == value for name, value in fields.items())]

    def configuration(self, version):
        rules = [{"name": kind["name"], "kind": "safe" if kind["safe"] else "unsafe", "targetLatency": f"{kind.get('aim', 600)}ms", "priority": kind.get("priority", 1),
            "match": {"pathPrefix": f"/{kind['name']}/"}, "action": {"service": kind["service"], "timeout": f"{int(kind['timeout'] * 1000)}ms", "maxAttempts": 2}} for kind in self.kinds]
        return {"version": f"{version:08x}", "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            "listeners": [{"host": "review.example", "routeRules": rules}], "clusters": [{"name": name, "healthCheckPath": "/health"} for name in self.services]}

    async def write_configuration(self, version):
        self.note("operator", "configuration-sent", version=version)
        await self.store.put("config", "main", self.configuration(version))
        self.note("operator", "configuration-acked", version=version)

    async def start(self, endpoints):
        await self.store.start()
        await self.write_configuration(1)
        self.endpoints = endpoints
        for endpoint in endpoints:
            await endpoint.start()
        for daemon in self.daemons:
            await daemon.start(bootstrap=True)
        if not all(await asyncio.gather(*(daemon.await_ready(15) for daemon in self.daemons))):
            raise RuntimeError("the fleet did not become ready")
        # The machines are in touch once the stable window has passed.
        await asyncio.sleep(STABLE + 0.5)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def request(self, daemon, kind, deadline=2.0, body=b"", path=None):
        """Sends one client attempt on a connection of its own and returns its status; 0 when there is no answer."""
        self.number += 1
        request_id = f"{self.number:016x}"
        target = path or f"/{kind['name']}/{request_id}"
        self.note("client", "sent", id=request_id, daemon=daemon.name, kind=kind["name"])
        status = 0
        writer = None
        try:
            host, port = daemon.caller.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            writer.write(http1.message(f"{'GET' if kind['safe'] else 'POST'} {target} HTTP/1.1", {"Host": "review.example", ID: request_id, LEFT: int(deadline * 1000)}, body))
            answer = await asyncio.wait_for(http1.read_message(reader), deadline)
            if answer:
                status = int(answer[0].split(" ")[1])
        except http1.BROKEN:
            pass
        finally:
            if writer:
                writer.close()
        self.note("client", "got", id=request_id, daemon=daemon.name, kind=kind["name"], status=status)
        return status

    async def traffic(self, kind, rate, daemons=None):
        """Sends requests of a kind at random times until cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(rate))
            choice = [daemon for daemon in (daemons or self.daemons) if daemon.process.returncode is None]
            if choice:
                self.spawn(self.request(self.random.choice(choice), kind, deadline=kind["timeout"]))

    async def stop(self):
        """Ends all daemons, also one that a task of the run is just starting."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()

    def write_record(self, verdict):
        with open(self.folder / "record.txt", "w", encoding="utf-8") as file:
            for line in sorted(self.lines, key=lambda item: item["t"]):
                file.write(json.dumps(line) + "\n")
            file.write(verdict + "\n")


def run(folder, main, make):
    """Runs a script's main(fleet), which returns (exit code, verdict)."""
    async def everything():
        # The stand-ins' tasks are cancelled at the end; that needs no report.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        fleet = make(folder)
        code, verdict = NOT_RUN, "the case could not run"
        running = asyncio.create_task(main(fleet))
        # Whoever ends the script early ends its daemons, too.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        try:
            code, verdict = await asyncio.wait_for(running, 110)
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001  any failure of the run itself
            verdict = f"the case could not run: {error!r}"
        finally:
            await fleet.stop()
            fleet.write_record(verdict)
            if os.environ.get("KEEP_LOGS"):
                print(fleet.state)
            else:
                shutil.rmtree(fleet.state, ignore_errors=True)
        print(verdict, flush=True)
        # Ends without the clean-up of the stand-ins' tasks, which would only report that they were cancelled.
        os._exit(code)
    asyncio.run(everything())
