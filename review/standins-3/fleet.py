"""Stand-ins for the scripts of this review: the platform's store, endpoints, and a runner of daemons with the settings of a small
deployment. All addresses are loopback addresses; the clock is the real one."""

import asyncio
import contextlib
import copy
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ROOT / "target" / "packages" / "daemon" / "flamingowickd"
TEMPLATE = ROOT / "deploy" / "settings.template.jsonc"
REQUEST_ID = "X-Flamingowick-Request-Id"
TIMEOUT = "X-Flamingowick-Request-Timeout-Ms"
SIGNATURE = "X-Flamingowick-Response-Signature"
EXPECTED = "X-Flamingowick-Expected-Instance"
NOT_EXECUTED = "X-Flamingowick-Not-Executed"
# Requests that an endpoint queues beside those that it runs.
QUEUE = 8
BROKEN = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.TimeoutError, ValueError)
# Bounds of a small deployment, as SYSTEM.md and DEPLOY.md give them.
DRAIN_S, GRACE_S, CONFIG_APPLY_S, STABLE_WINDOW_S, HEARTBEAT_S = 2.0, 6.0, 2.0, 3.0, 1.5


class Record:
    """Writes what was sent, answered and run, one JSON object a line, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, event, **fields):
        line = {"at": round(self.now(), 4), "event": event, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        return line["at"]

    def of(self, event):
        return [line for line in self.lines if line["event"] == event]


def free_ports(host, count):
    ports, held = [], []
    port = 21000 + os.getpid() * 7 % 9000
    while len(ports) < count:
        port += 1
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            tcp.bind((host, port))
            udp.bind((host, port))
            ports.append(port)
        except OSError:
            pass
        held += [tcp, udp]
    for each in held:
        each.close()
    return ports


async def read_head(reader):
    """Returns the start line and the headers by lower-case name; None at the end of the connection."""
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
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    return start, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def message(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def response(status, headers, body=b""):
    return message(f"HTTP/1.1 {status} Status", headers, body)


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it. `loses_answer`, if set, is asked for each answer whether it is lost:
    its connection then returns nothing further."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects, self.history, self.renewed = {}, [], {}
        self.changed = asyncio.Condition()
        self.loses_answer = None
        self.answers = 0
        self.lost = 0

    async def change(self, kind, name, value, tombstone=False):
        self.revision += 1
        value["metadata"]["revision"] = self.revision
        self.history.append((self.revision, kind, {"tombstone": tombstone, "object": copy.deepcopy(value)}))
        if tombstone:
            del self.objects[kind][name]
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec, create_only=False, update_only=False, revision=None):
        known = self.objects.setdefault(kind, {})
        if name in known:
            if create_only or (revision is not None and known[name]["metadata"]["revision"] != revision):
                return 409, known[name]
        elif update_only:
            return 404, None
        self.renewed[kind, name] = time.monotonic()
        if name in known and self.is_same(kind, known[name]["spec"], spec):
            known[name]["spec"] = spec
            return 200, known[name]
        created = known[name]["metadata"]["created"] if name in known else self.revision + 1
        known[name] = {"metadata": {"name": name, "revision": 0, "created": created, "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        await self.change(kind, name, known[name])
        return 200, known[name]

    @staticmethod
    def is_same(kind, old, new):
        if kind == "servers" and isinstance(old, dict) and isinstance(new, dict) and "sequence" in old and "sequence" in new:
            return {**old, "sequence": 0} == {**new, "sequence": 0}
        return old == new

    async def delete(self, kind, name, revision=None):
        value = self.objects.get(kind, {}).get(name)
        if value is None:
            return 404, None
        if revision is not None and value["metadata"]["revision"] != revision:
            return 409, value
        await self.change(kind, name, value, tombstone=True)
        return 200, value

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            events = [event for revision, each, event in self.history if revision > since and each == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        kind, _, name = path.removeprefix("/flamingowick/objects/").partition("/")
        revision = ((body or {}).get("metadata") or {}).get("revision")
        if method == "POST":
            return await self.put(kind, body["metadata"]["name"], body.get("spec"), create_only=True)
        if method == "PUT":
            return await self.put(kind, name, body.get("spec"), update_only=True, revision=revision)
        if method == "DELETE":
            return await self.delete(kind, name, int(options["revision"]) if "revision" in options else None)
        known = self.objects.get(kind, {})
        if name:
            return (200, known[name]) if name in known else (404, None)
        if "watch" in options:
            return await self.watch(kind, int(options["watch"]), int(options.get("waitMs", "0")) / 1000)
        items = [known[key] for key in sorted(known) if key > options.get("after", "")]
        return 200, {"items": items[:500], "more": len(items) > 500, "currentRev": self.revision}

    async def serve(self, reader, writer):
        try:
            while received := await read_message(reader):
                method, target, _ = received[0].split(" ")
                status, value = await self.answer(method, target, json.loads(received[2] or b"null"))
                self.answers += 1
                if self.loses_answer and self.loses_answer(method, target, status, value):
                    self.lost += 1
                    while await reader.read(65536):
                        pass
                    return
                writer.write(response(status, {"Store-Era": 1, "Content-Type": "application/json"}, json.dumps(value).encode()))
                await writer.drain()
        except BROKEN:
            pass
        finally:
            writer.close()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            oldest = time.monotonic() - 3 * HEARTBEAT_S
            for name in [name for name in self.objects.get("servers", {}) if self.renewed["servers", name] < oldest]:
                await self.delete("servers", name)


class Endpoint:
    """A sound endpoint: runs what is sent to it, rejects what expects another instance, and writes its entry at each heartbeat."""

    def __init__(self, record, store, service, instance, address, work_s=0.05, slots=2):
        self.record, self.store, self.service, self.instance, self.address = record, store, service, instance, address
        self.work_s, self.slots = work_s, slots
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.busy, self.running = 0, asyncio.Semaphore(slots)
        # Extra headers of all its answers.
        self.marks = {}

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "zone-1", "version": "v1", "slots": self.slots, "state": self.state, "coldRemaining": "0ms", "sequence": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            self.sequence += 1
            await self.store.put("servers", self.instance, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def leave_without_report(self):
        """Leaves without having reported that it drains: its entry is removed, it says so in its answers and goes on serving."""
        self.beating.cancel()
        self.marks = {"Server-Leaving": "1"}
        await self.store.delete("servers", self.instance)

    async def answer(self, start, headers, body):
        request_id = headers.get(REQUEST_ID.lower(), "")
        marks = {**self.marks, REQUEST_ID: request_id}
        if start.startswith("GET /health "):
            return response(200 if self.state == "ready" else 503, {"X-Flamingowick-Instance-Id": self.instance})
        if not request_id:
            return response(400, {NOT_EXECUTED: 1})
        if headers.get(EXPECTED.lower(), self.instance) != self.instance:
            return response(421, {**marks, "X-Flamingowick-Instance-Id": self.instance})
        if self.busy >= self.slots + QUEUE:
            return response(503, {**marks, NOT_EXECUTED: 1})
        self.busy += 1
        try:
            async with self.running:
                self.record.note("run", id=request_id, service=self.service, instance=self.instance, request=start, body=body.decode("latin-1")[:80])
                await asyncio.sleep(self.work_s)
        finally:
            self.busy -= 1
        return response(200, {**self.marks, REQUEST_ID: request_id, SIGNATURE: f"{self.instance}.{request_id}", "Keep-Alive": "timeout=10"}, f"{self.service} ran {request_id}\n".encode())

    async def serve(self, reader, writer):
        try:
            while received := await read_message(reader):
                if not received[0].endswith(" HTTP/1.1"):
                    self.record.note("no request", instance=self.instance, line=received[0][:80])
                    writer.write(response(400, {NOT_EXECUTED: 1, "Connection": "close"}))
                    return
                writer.write(await self.answer(*received))
                await writer.drain()
        except BROKEN:
            pass
        finally:
            writer.close()


def render(text, fields):
    """Fills in a template of settings as DEPLOY.md describes it, as far as the template uses it."""

    def look_up(name, scope):
        if name == ".":
            return scope.get(".", scope)
        value = scope
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
        return value

    def sections(body, scope):
        def replace(match):
            value = look_up(match[2], scope)
            if match[1] == "^":
                return sections(match[3], scope) if not value else ""
            return sections(match[3], {**scope, ".": value}) if value not in (None, False) else ""

        body = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", replace, body, flags=re.S)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", lambda match: json.dumps(look_up(match[1], scope)) if match[2] else str(look_up(match[1], scope)), body)

    return sections(text, fields)


class Daemon:
    """A daemon as the deploy file starts it."""

    def __init__(self, name, host, ports, store_address, folder, limits=None):
        front, ready, peer, metrics = ports
        self.name, self.host, self.front, self.ready = name, host, front, ready
        fields = {"nodeName": name, "zone": "zone-1", "ip": host, "listen": {"front": f"{host}:{front}", "ready": f"{host}:{ready}"}, "internalPortRange": [peer, metrics],
            "platform": {"address": store_address}, "limits": limits or {"linkMbps": 1000.0, "memoryMb": 260, "maxFds": 4100}, "bootstrap": False,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"],
            "bounds": {"grace": f"{GRACE_S:g}s", "retryBudgetRatio": 0.2, "retryBudgetSlack": 56}}
        self.settings = pathlib.Path(folder) / f"{name}.jsonc"
        self.settings.write_text(render(TEMPLATE.read_text(), fields))
        self.log = open(pathlib.Path(folder) / f"{name}.log", "wb")
        self.process = None

    def start(self):
        self.process = subprocess.Popen([DAEMON, "--platform", "--settings_env", "FLAMINGOWICK_BOOT"], cwd=ROOT, stdout=self.log, stderr=self.log, env={"PATH": os.environ["PATH"], "FLAMINGOWICK_BOOT": str(self.settings)})

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
                self.process.send_signal(signal.SIGKILL)
        if self.process:
            self.process.wait()


def route(host, name, prefix, service, kind, timeout="2000ms", attempts=2):
    return {"host": host, "rule": {"name": name, "kind": kind, "targetLatency": "600ms", "priority": 1, "match": {"pathPrefix": prefix}, "action": {"service": service, "timeout": timeout, "maxAttempts": attempts}}}


def configuration(version, routes, services, **limits):
    hosts = {}
    for each in routes:
        hosts.setdefault(each["host"], []).append(each["rule"])
    return {"version": f"{version:08x}", "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms", **limits},
        "listeners": [{"host": host, "routeRules": rules} for host, rules in hosts.items()],
        "clusters": [{"name": name, "healthCheckPath": "/health", "maxConnections": 330, "protocol": "h1", "tls": False} for name in services]}


class Fleet:
    """The store, endpoints and daemons of one run."""

    def __init__(self, record_path, daemons=3):
        self.host = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250}.1"
        self.record = Record(record_path)
        self.folder = tempfile.TemporaryDirectory(prefix="review-3-")
        self.store = Store(self.record)
        self.daemon_count = daemons
        self.daemons, self.endpoints, self.tasks, self.servers = [], [], [], []
        self.number = 0
        self.ports = []

    def port(self):
        return self.ports.pop()

    async def listen(self, serve, port):
        self.servers.append(await asyncio.start_server(serve, self.host, port, backlog=1000))

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def begin(self, services, first_configuration, endpoints_each=2, **endpoint_options):
        # Tasks that are cancelled at the end have nothing to tell.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.ports = free_ports(self.host, 4 * self.daemon_count + 1 + len(services) * endpoints_each + 8)
        store_port = self.port()
        self.store_address = f"{self.host}:{store_port}"
        await self.listen(self.store.serve, store_port)
        self.spawn(self.store.expire())
        await self.store.put("config", "main", first_configuration)
        for service in services:
            for index in range(endpoints_each):
                await self.add_endpoint(service, f"i-{service}-{index}", **endpoint_options)
        await asyncio.sleep(0.2)
        for index in range(self.daemon_count):
            daemon = Daemon(f"front-zone-1-{index + 1}", self.host, [self.port() for _ in range(4)], self.store_address, self.folder.name)
            self.daemons.append(daemon)
            daemon.start()

    async def add_endpoint(self, service, instance, **options):
        port = self.port()
        endpoint = Endpoint(self.record, self.store, service, instance, f"{self.host}:{port}", **options)
        self.endpoints.append(endpoint)
        await self.listen(endpoint.serve, port)
        endpoint.beating = self.spawn(endpoint.beat())
        return endpoint

    async def request(self, daemon, method, host, path, kind="", body=b"", timeout_s=2.0):
        """Sends one request on a connection of its own; returns the recorded answer, of status 0 if there is none."""
        self.number += 1
        request_id = f"{os.getpid():06x}{self.number:06x}"
        sent_at = self.record.note("sent", id=request_id, daemon=daemon.name, request=f"{method} {path}", host=host, kind=kind)
        status, signature, text, leaving = 0, "", "", False

        async def exchange():
            reader, writer = await asyncio.open_connection(daemon.host, daemon.front)
            try:
                writer.write(message(f"{method} {path} HTTP/1.1", {"Host": host, REQUEST_ID: request_id, TIMEOUT: int(timeout_s * 1000)}, body))
                return await read_message(reader)
            finally:
                writer.close()

        with contextlib.suppress(*BROKEN):
            received = await asyncio.wait_for(exchange(), timeout_s + 0.5)
            if received:
                status, signature, text = int(received[0].split(" ")[1]), received[1].get(SIGNATURE.lower(), ""), received[2].decode("latin-1")[:80]
                leaving = received[1].get("server-leaving") == "1"
        at = self.record.note("answered", id=request_id, daemon=daemon.name, status=status, signature=signature, leaving=leaving, body=text)
        return {"id": request_id, "sent": sent_at, "at": at, "status": status, "signature": signature}

    async def await_service(self, method, host, path, limit_s=15):
        end = time.monotonic() + limit_s
        for daemon in self.daemons:
            while (await self.request(daemon, method, host, path, "warm-up"))["status"] != 200:
                if time.monotonic() > end:
                    raise RuntimeError(f"{daemon.name} doesn't serve")
                await asyncio.sleep(0.2)

    async def end(self):
        for daemon in self.daemons:
            daemon.kill()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        self.folder.cleanup()


def run(main):
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. A signal ends it with all that it started."""

    async def bounded():
        case = asyncio.ensure_future(asyncio.wait_for(main(), 110))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, case.cancel)
        try:
            code = await case
        except (Exception, asyncio.CancelledError) as error:  # Whatever it is, the case has shown nothing.
            print(f"the case couldn't run: {error!r}")
            code = 2
        # Everything has ended but the tasks of stand-ins, which may miss their cancellation.
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(bounded())
