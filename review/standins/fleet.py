"""Stand-ins of the platform's store, of endpoints and of clients, and the daemons of a small deployment as processes.

The daemons are started with the command of deploy/system.toml and settings as its template renders them. Everything
listens on loopback addresses that nothing else uses. Each daemon reaches the store under an address of its own, so that the store can
tell the machines apart, as it can on the platform."""

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
import traceback
import urllib.parse
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ["target/packages/daemon/flamingowickd", "--platform", "--settings_env", "FLAMINGOWICK_BOOT"]
HOST = "127.0.0.1"
PORTS = {"front": 8548, "ready": 8542, "peer": 7540, "metrics": 7555}
REQUEST_ID = "X-Flamingowick-Request-Id"
TIMEOUT = "X-Flamingowick-Request-Timeout-Ms"
SIGNATURE = "X-Flamingowick-Response-Signature"
NOT_EXECUTED = "X-Flamingowick-Not-Executed"
EXPECTED = "X-Flamingowick-Expected-Instance"
INSTANCE = "X-Flamingowick-Instance-Id"
OBJECTS = "/flamingowick/objects/"
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}

HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
# The bounds of the small installations.
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
DRAIN_S = 2.0


class CannotRun(Exception):
    """The case can't be played."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {event} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the start line, the headers by lower-case name, and the body; None at a clean end before the first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def message(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def response(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", headers, body)


def free_block():
    """Returns the first two numbers of loopback addresses that nothing uses, so that no connection takes a port away."""
    for _ in range(50):
        block = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        try:
            with socket.socket() as one:
                one.bind((f"{block}.1", PORTS["front"]))
            return block
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Store:
    """The platform's metadata store: linearizable, loses nothing, answers at once."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.servers = []
        # Machines with a watch that waits, by kind: list of (machine, connection).
        self.waiting = []
        # Connections on which a response was lost: they return nothing further.
        self.mute = set()
        # Called with machine, kind, connection and the watch's events; returns whether the response is lost.
        self.loses = lambda machine, kind, connection, events: False

    async def listen(self, machine):
        server = await asyncio.start_server(lambda reader, writer: self.serve(machine, reader, writer), HOST, 0, backlog=200)
        self.servers.append(server)
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def commit(self, kind, value, tombstone=False):
        self.revision += 1
        value["metadata"]["revision"] = self.revision
        self.events.append((self.revision, kind, {"object": json.loads(json.dumps(value)), "tombstone": tombstone}))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec, expected=None, create=None):
        known = self.objects.setdefault(kind, {})
        if create is True and name in known:
            return 409, known[name]
        if create is False and name not in known:
            return 404, None
        if expected is not None and name in known and expected != known[name]["metadata"]["revision"]:
            return 409, known[name]
        if name in known:
            old = known[name]["spec"]
            known[name]["spec"] = spec
            # A change of the sequence alone is no change of an endpoint's entry.
            if {**(old or {}), "sequence": 0} == {**(spec or {}), "sequence": 0}:
                return 200, known[name]
        else:
            known[name] = {"metadata": {"name": name, "revision": 0, "created": self.revision + 1, "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        value = known[name]
        await self.commit(kind, value)
        return 200, value

    async def remove(self, kind, name, expected=None):
        known = self.objects.get(kind, {})
        if name not in known:
            return 404, None
        if expected is not None and expected != known[name]["metadata"]["revision"]:
            return 409, known[name]
        value = known.pop(name)
        await self.commit(kind, value, tombstone=True)
        return 200, value

    async def watch(self, machine, kind, since, wait_s, connection):
        limit = time.monotonic() + wait_s
        entry = (machine, kind, connection)
        self.waiting.append(entry)
        try:
            while True:
                events = [event for revision, event_kind, event in self.events if revision > since and event_kind == kind]
                left = limit - time.monotonic()
                if events or left <= 0:
                    return events, {"events": events, "currentRev": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.waiting.remove(entry)

    async def answer(self, machine, method, target, body, connection):
        path, _, query = target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path[len(OBJECTS):].partition("/")
        name = urllib.parse.unquote(name)
        expected = options.get("revision") or ((body or {}).get("metadata") or {}).get("revision")
        expected = int(expected) if expected is not None else None
        if method == "POST":
            return await self.put(kind, body["metadata"]["name"], body.get("spec"), create=True)
        if method == "PUT":
            return await self.put(kind, name, body.get("spec"), expected, create=False)
        if method == "DELETE":
            return await self.remove(kind, name, expected)
        known = self.objects.get(kind, {})
        if name:
            return (200, known[name]) if name in known else (404, None)
        if "watch" in options:
            events, value = await self.watch(machine, kind, int(options["watch"]), int(options.get("waitMs", "0")) / 1000, connection)
            if events and self.loses(machine, kind, connection, events):
                self.mute.add(connection)
            return 200, value
        items = [known[key] for key in sorted(known) if key > options.get("after", "")]
        return 200, {"items": items[:500], "more": len(items) > 500, "currentRev": self.revision}

    async def serve(self, machine, reader, writer):
        try:
            while received := await read_message(reader):
                start, _, body = received
                method, target, _ = start.split(" ")
                status, value = await self.answer(machine, method, target, json.loads(body) if body else None, writer)
                if writer in self.mute:
                    self.record.write("store-response-lost", machine=machine, call=target)
                    # The connection stays open and returns nothing further.
                    while await reader.read(65536):
                        pass
                    break
                writer.write(response(status, {"Store-Era": 1, "Content-Type": "application/json"}, json.dumps(value).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.mute.discard(writer)
            writer.close()


class Endpoint:
    """A sound endpoint: slots, a short queue, an entry in the store; work is dropped when its connection closes."""

    def __init__(self, fleet, service, name, zone, slots=2, queue=16, work_s=0.05, cold_s=0.0):
        self.fleet, self.service, self.name, self.zone = fleet, service, name, zone
        self.slot_count, self.queue, self.work_s, self.cold_s = slots, queue, work_s, cold_s
        self.record = fleet.record
        self.address = ""
        self.server = None
        self.beating = None
        self.generation = 0

    async def start(self):
        """Starts a new incarnation at the same address."""
        self.generation += 1
        self.instance = "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.slots = asyncio.Semaphore(self.slot_count)
        self.queued = 0
        self.writers = set()
        port = int(self.address.rsplit(":", 1)[1]) if self.address else 0
        await self.listen(port)
        self.beating = asyncio.create_task(self.beat())
        self.record.write("endpoint-started", endpoint=self.name, instance=self.instance, service=self.service)

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=200)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def entry(self):
        cold_ms = max(0, int((self.cold_s - (time.monotonic() - self.born_at)) * 1000))
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slot_count, "state": self.state,
            "coldRemaining": f"{cold_ms}ms", "sequence": self.sequence, "born": self.born}

    async def heartbeat(self):
        self.sequence += 1
        self.fleet.renewed[self.instance] = time.monotonic()
        await self.fleet.store.put("servers", self.instance, self.entry())

    async def beat(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The process ends: the kernel closes its sockets, and nothing listens any more."""
        self.record.write("endpoint-crashed", endpoint=self.name, instance=self.instance)
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def headers(self, request_id):
        headers = {REQUEST_ID: request_id}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def rejection(self, request_id):
        return response(503, {NOT_EXECUTED: "1", **self.headers(request_id)})

    async def work(self, request, writer):
        """Runs a request and returns the bytes of its response."""
        request_id = request[1].get(REQUEST_ID.lower(), "")
        await asyncio.sleep(self.work_s)
        body = f"{self.service} {request_id}\n".encode() * 20
        return response(200, {**self.headers(request_id), SIGNATURE: f"{self.instance}.{request_id}.{len(body)}"}, body)

    async def handle(self, request, writer):
        start, headers, _ = request
        request_id = headers.get(REQUEST_ID.lower(), "")
        if start.startswith("GET /health"):
            return response(200 if self.state == "ready" and not self.leaving else 503, {INSTANCE: self.instance})
        self.record.write("arrived", endpoint=self.name, instance=self.instance, id=request_id)
        if headers.get(EXPECTED.lower(), self.instance) != self.instance:
            return response(421, {INSTANCE: self.instance, **self.headers(request_id)})
        if self.slots.locked() and self.queued >= self.queue:
            return self.rejection(request_id)
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        try:
            self.record.write("run", endpoint=self.name, service=self.service, id=request_id, path=start.split(" ")[1])
            self.fleet.runs.append((time.monotonic(), self, request_id))
            return await self.work(request, writer)
        finally:
            self.slots.release()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            received = await read_message(reader)
            while received:
                working = asyncio.create_task(self.handle(received, writer))
                following = asyncio.create_task(read_message(reader))
                await asyncio.wait({working, following}, return_when=asyncio.FIRST_COMPLETED)
                if not working.done() and (following.exception() or following.result() is None):
                    working.cancel()
                    return
                answer = await working
                if answer is None:
                    following.cancel()
                    return
                writer.write(answer)
                await writer.drain()
                received = await following
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Daemon:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.process = None


class Fleet:
    def __init__(self, folder, zones, terms=("base", "drain", "config", "cost", "retry", "recover", "health", "platform"), retry_burst=62, daemon_settings=None):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="flamingowick-review-"))
        self.store = Store(self.record)
        self.block = free_block()
        self.daemons = [Daemon(f"front-{zone}-{number}", zone) for zone, count in zones.items() for number in range(1, count + 1)]
        self.terms, self.retry_burst, self.daemon_settings = list(terms), retry_burst, daemon_settings or {}
        self.endpoints = []
        self.renewed = {}
        self.runs = []
        self.tasks = set()
        self.version = 0

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.25)
            silent = time.monotonic() - SILENT_HEARTBEATS * HEARTBEAT_S
            for name in [name for name in self.store.objects.get("servers", {}) if self.renewed.get(name, 0) < silent]:
                self.record.write("entry-expired", instance=name)
                await self.store.remove("servers", name)

    async def configure(self, rules, **extra):
        """Writes the next version and returns the time of its ack. A rule is a dict of name, kind, prefix and action."""
        self.version += 3
        route_rules = [{"name": rule["name"], "kind": rule["kind"], "targetLatency": rule.get("objective", "1500ms"), "priority": rule.get("priority", 1), "match": {"pathPrefix": rule["prefix"]},
            "action": {"timeout": rule.get("timeout", "4000ms"), "maxAttempts": rule.get("attempts", 2), **rule["action"]}} for rule in rules]
        services = sorted({endpoint.service for endpoint in self.endpoints})
        spec = {"version": f"{self.version:08x}", "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            "listeners": [{"host": "review.example", "routeRules": route_rules}], "clusters": [{"name": name, "healthCheckPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": False} for name in services], **extra}
        await self.store.put("config", "main", spec)
        self.record.write("configuration-acknowledged", version=spec["version"])
        return time.monotonic()

    async def start_daemon(self, daemon, stage="running"):
        if not daemon.process:
            daemon.store = await self.store.listen(daemon.name)
            for name, port in PORTS.items():
                setattr(daemon, name, f"{self.block}.{self.daemons.index(daemon) + 1}:{port}")
        settings = {"vm": daemon.name, "failureDomain": daemon.zone, "callerAddress": daemon.front, "readyAddress": daemon.ready, "peerAddress": daemon.peer, "metricsAddress": daemon.metrics,
            "storeAddress": daemon.store, "linkMbps": 1000.0, "fleetStage": stage, "terms": self.terms, "stopGrace": "6s", "retryRatio": 0.2, "retryBurst": self.retry_burst, **self.daemon_settings}
        path = self.temporary / f"{daemon.name}.json"
        path.write_text(json.dumps(settings))
        log = open(self.temporary / f"{daemon.name}.log", "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        daemon.process = await asyncio.create_subprocess_exec(*COMMAND, cwd=ROOT, env={**environment, "FLAMINGOWICK_BOOT": str(path)}, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record.write("daemon-started", machine=daemon.name, pid=daemon.process.pid)

    async def is_ready(self, daemon):
        try:
            status, _, _ = await call(daemon.ready, message("GET /flamingowick/ready HTTP/1.1", {"Host": "x", "Connection": "close"}), 1.0)
        except FAILED:
            return False
        return status == 200

    async def start(self):
        """Starts the endpoints that were added, and all daemons; returns when all are ready."""
        if not (ROOT / COMMAND[0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        for endpoint in self.endpoints:
            await endpoint.start()
        self.spawn(self.expire_entries())
        for daemon in self.daemons:
            await self.start_daemon(daemon, "starting")
        limit = time.monotonic() + 20
        for daemon in self.daemons:
            while not await self.is_ready(daemon):
                if time.monotonic() > limit or daemon.process.returncode is not None:
                    raise CannotRun(f"{daemon.name} doesn't become ready")
                await asyncio.sleep(0.2)
        self.record.write("all-ready")
        # Roles and relays settle, and the machines come in touch.
        await asyncio.sleep(STABLE_WINDOW_S + 1)

    def log_of(self, daemon):
        return (self.temporary / f"{daemon.name}.log").read_text(errors="replace")

    async def stop(self):
        for task in list(self.tasks):
            task.cancel()
        for daemon in self.daemons:
            if daemon.process and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.send_signal(signal.SIGKILL)
                await daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


FAILED = (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError)


async def call(address, request, timeout, connection=None):
    """Sends one request. Returns status, headers and body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = connection or await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            received = await read_message(reader)
        finally:
            if not connection:
                writer.close()
        if received is None:
            raise ConnectionResetError("closed without an answer")
        start, headers, body = received
        return int(start.split(" ")[1]), headers, body

    return await asyncio.wait_for(exchange(), timeout)


async def send(fleet, daemon, method, path, body=b"", timeout_s=4.0, request_id=None, connection=None):
    """One client attempt. Returns its id, the status (0: none, -1: connection ended) and the headers, with the body's size
    under "body-bytes"."""
    request_id = request_id or uuid.uuid4().hex[:16]
    fleet.record.write("sent", id=request_id, machine=daemon.name, request=f"{method}:{path}")
    request = message(f"{method} {path} HTTP/1.1", {"Host": "review.example", REQUEST_ID: request_id, TIMEOUT: int(timeout_s * 1000)}, body)
    headers = {}
    try:
        status, headers, received = await call(daemon.front, request, timeout_s, connection)
        headers["body-bytes"] = len(received)
    except asyncio.TimeoutError:
        status = 0
    except FAILED:
        status = -1
    fleet.record.write("answered", id=request_id, status=status, signature=headers.get(SIGNATURE.lower(), ""), bytes=headers.get("body-bytes", 0))
    return request_id, status, headers


def play(folder, case):
    """Runs case(fleet-maker, trouble); it returns the breaches. Exits with 1 if there are any, 0 if there are none, 2 if the case can't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    def make(*arguments, **options):
        fleets.append(Fleet(folder, *arguments, **options))
        return fleets[0]

    async def run():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(make, trouble), 112)
        finally:
            for fleet in fleets:
                await fleet.stop()

    try:
        breaches = asyncio.run(run())
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
    for breach in breaches:
        fleets[0].record.write("BROKEN", what=breach)
        print("broken:", breach)
    print("trouble" if trouble else "no trouble", "-", "broken" if breaches else "held")
    sys.exit(1 if breaches else 0)
