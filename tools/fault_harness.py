"""What the fault runs share: a local fleet whose processes can be killed, stopped and replaced, the
load on it, and the check of the targets' ledgers against what callers were told."""

import collections
import http.client
import importlib.machinery
import importlib.util
import json
import pathlib
import random
import signal
import socket
import subprocess
import threading
import time
import types
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTLE = "settle.sohar.example"
DEREGISTER = "dereg.sohar.example"
CATALOGUE = "parts.sohar.example"
READY_LIMIT_SECONDS = 60
SETTLED_SECONDS = 2
# Told of a resend while the first request is in flight.
CONFLICT_STATUS = 409
CALLER_TIMEOUT_SECONDS = 25
HANG_UP_SECONDS = 0.05


def load_local_fleet():
    loader = importlib.machinery.SourceFileLoader("local_fleet", str(ROOT / "tools" / "local-fleet"))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader("local_fleet", loader))
    loader.exec_module(module)
    return module


def fetch(url, body=None, method=None, headers=None):
    """Returns the JSON of an answer; raises OSError when there is none."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, headers=headers or {}, method=method)
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.load(answer)


class Fleet:
    """A fleet of one deployment with its daemons, each a child of this process."""

    def __init__(self, options, state):
        module = load_local_fleet()
        arguments = types.SimpleNamespace(
            build=options.build, examples=str(ROOT / "examples"), deployment="sohar", port_base=options.port_base,
            state=str(state), daemons=options.daemons, seed=options.seed,
            service_time_ms=None, distribution="exponential")
        self.inner = module.Fleet(arguments)
        self.token = {"Authorization": "Bearer " + module.ADMIN_TOKEN}
        self.module = module
        # Processes that this run ended itself.
        self.ended = set()
        self.failures = []

    def start(self):
        self.inner.start_all()
        self.current = {name: process for name, process in self.inner.processes}
        self.daemons = [each["vm"] for each in self.inner.summary["daemons"]]
        for vm in self.daemons:
            self.await_ready(vm)
        self.await_settled()

    def await_settled(self):
        """Waits until every daemon knows every other one and the key ranges stay where they are."""
        limit = time.monotonic() + READY_LIMIT_SECONDS
        before, since = None, time.monotonic()
        while time.monotonic() < limit:
            statuses = [self.admin(vm, "/status") for vm in self.daemons]
            owned = [status["keyRangesOwned"] for status in statuses]
            complete = all(len(status["members"]) == len(self.daemons) for status in statuses)
            if not complete or owned != before or not all(owned):
                before, since = owned, time.monotonic()
            elif time.monotonic() - since > SETTLED_SECONDS:
                return
            time.sleep(0.2)
        raise RuntimeError(f"the fleet did not settle within {READY_LIMIT_SECONDS} s")

    def settings(self, vm):
        return self.inner.daemon_settings(self.daemons.index(vm))

    def entry(self, vm):
        return self.settings(vm)["entryAddress"]

    def domain(self, name):
        return [vm for vm in self.daemons if self.settings(vm)["failureDomain"] == name]

    def admin(self, vm, path):
        return fetch("http://" + self.settings(vm)["adminAddress"] + path, headers=self.token)

    def await_ready(self, vm):
        limit = time.monotonic() + READY_LIMIT_SECONDS
        while time.monotonic() < limit:
            try:
                if self.admin(vm, "/status")["ready"]:
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.1)
        raise RuntimeError(f"{vm} was not ready within {READY_LIMIT_SECONDS} s")

    def signal(self, vm, number):
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.ended.add(self.current[vm].pid)
        self.current[vm].send_signal(number)

    def kill(self, vm):
        self.signal(vm, signal.SIGKILL)
        self.current[vm].wait()

    def stop_gracefully(self, vm):
        """Ends a daemon by SIGTERM, which must succeed by itself."""
        self.signal(vm, signal.SIGTERM)
        self.await_graceful_end(vm)

    def await_graceful_end(self, vm):
        try:
            code = self.current[vm].wait(75)
        except subprocess.TimeoutExpired:
            self.failures.append(f"{vm} did not end after SIGTERM")
            self.kill(vm)
            return
        if code != 0:
            self.failures.append(f"{vm} ended with code {code} after SIGTERM")

    def restart(self, vm):
        file = self.inner.state / f"{vm}.json"
        command = [self.inner.binary("daemon", "flamingowickd"), "--settings", str(file)]
        # A log of its own, so that an earlier life's log is kept.
        self.inner.start(f"{vm}-{len(self.inner.processes)}", command)
        self.current[vm] = self.inner.processes[-1][1]

    def platform(self, **faults):
        fetch(self.inner.platform + "/control", faults)

    def service(self, name):
        return self.inner.summary["services"][name]

    def ports(self, service):
        return [int(target["address"].rpartition(":")[2]) for target in self.service(service)["targets"]]

    def target(self, service, port, **faults):
        return fetch(f"{self.service(service)['control']}/control?port={port}", faults)

    def ledger(self, service, port):
        return fetch(f"{self.service(service)['control']}/control/ledger?port={port}")

    def object(self, plural, name):
        return fetch(self.inner.platform + self.module.API + plural + "/" + name)

    def replace(self, plural, name, spec, change):
        """Writes an object on the version that is read; returns whether that was confirmed."""
        try:
            value = self.object(plural, name)
            value["spec"] = spec
            value["metadata"]["annotations"] = {
                "flamingowick.example/change-id": change, "flamingowick.example/changed-by": "fault-runs"}
            fetch(self.inner.platform + self.module.API + plural + "/" + name, value, "PUT")
            return True
        except (OSError, ValueError, http.client.HTTPException):
            return False

    def self_ended(self):
        """Returns what is wrong with how the processes fared."""
        found = list(self.failures)
        for name, process in self.inner.processes:
            if process.poll() is not None and process.pid not in self.ended:
                found.append(f"{name} exited by itself with code {process.returncode}")
        for file in self.inner.state.glob("entry-*.log"):
            if "invariant" in file.read_text(errors="replace"):
                found.append(f"{file.name} tells of a broken invariant")
        return found

    def stop(self):
        for _, process in self.inner.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


class ToolLoad:
    """A run of flamingowick-load: idempotent requests and keyed ones, some sent twice at once."""

    def __init__(self, fleet, entries, seed, seconds, rate=60, host=SETTLE, path="/payouts", post_share=0.5, resend_share=0.2):
        self.told_file = fleet.inner.state / f"told-{seed}.jsonl"
        command = [fleet.inner.binary("standins", "flamingowick-load"), "--entries", ",".join(entries)]
        command += ["--rate", str(rate), "--seconds", str(seconds), "--host", host, "--post_path", path]
        command += ["--post_share", str(post_share), "--resend_share", str(resend_share), "--seed", str(seed)]
        command += ["--timeout_seconds", str(CALLER_TIMEOUT_SECONDS), "--told_file", str(self.told_file)]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def stop_starting(self):
        """Starts no more requests; those under way are waited for by finish."""
        if self.process.poll() is None:
            self.process.terminate()

    def finish(self):
        text, _ = self.process.communicate(timeout=150)
        self.report = json.loads(text)
        self.foreign = self.report["foreignAnswers"]
        self.told = [json.loads(line) for line in self.told_file.read_text().splitlines()]
        for each in self.told:
            each["name"] = each["key"] or each["nonce"]


class UnkeyedLoad:
    """Non-idempotent requests without keys, each sent once on its own connection."""

    def __init__(self, entries, seed, seconds, rate=30, hang_up_share=0, send_twice=False):
        self.entries, self.seed, self.seconds, self.rate = entries, seed, seconds, rate
        self.hang_up_share, self.send_twice = hang_up_share, send_twice
        self.told, self.foreign = [], 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        chance = random.Random(self.seed)
        workers = []
        due = time.monotonic()
        end = due + self.seconds
        while due < end and not self.stopping.is_set():
            time.sleep(max(0, due - time.monotonic()))
            nonce = f"{self.seed}-{len(workers)}"
            hangs_up = chance.random() < self.hang_up_share
            patience = chance.random() * HANG_UP_SECONDS if hangs_up else None
            worker = threading.Thread(target=self.ask, args=(chance.choice(self.entries), nonce, patience))
            worker.start()
            workers.append(worker)
            due += chance.expovariate(self.rate)
        for worker in workers:
            worker.join()

    def stop_starting(self):
        self.stopping.set()

    def ask(self, entry, nonce, patience):
        for _ in range(2 if self.send_twice else 1):
            told = post(entry, DEREGISTER, "/deregistrations", nonce, json.dumps({"nonce": nonce}), patience)
        told["name"] = nonce
        if told["end"] == "answered" and told["status"] == 200 and f'"nonce":"{nonce}"' not in told["body"]:
            self.foreign += 1
        self.told.append(told)

    def finish(self):
        self.thread.join()


def post(entry, host, path, nonce, body, patience=None):
    """Sends one request and returns what its caller was told; hangs up after the patience in seconds."""
    told = {"nonce": nonce, "key": "", "status": 0, "outcome": "", "body": "", "retryAfter": None}
    connection = http.client.HTTPConnection(entry, timeout=CALLER_TIMEOUT_SECONDS if patience is None else max(patience, 0.001))
    try:
        connection.connect()
    except OSError:
        return {**told, "end": "connect-failed"}
    try:
        connection.request("POST", path, body, {"Host": host, "X-Nonce": nonce, "Content-Type": "application/json"})
        answer = connection.getresponse()
        text = answer.read().decode(errors="replace")
        headers = answer.headers
        return {**told, "end": "answered", "status": answer.status, "outcome": headers.get("X-Outcome", ""),
                "body": text, "retryAfter": headers.get("Retry-After")}
    except (socket.timeout, TimeoutError):
        return {**told, "end": "timed-out" if patience is None else "hung-up"}
    except (OSError, http.client.HTTPException):
        return {**told, "end": "cut-off"}
    finally:
        connection.close()


def compare(ledgers, loads, victim_loads):
    """Compares what the targets ran with what callers were told; returns counts and examples. Requests
    through victims may be cut off, and all else holds for them too."""
    runs = collections.Counter()
    ran_any = set()
    for ledger in ledgers:
        for run in ledger["runs"]:
            if run["method"] == "POST":
                runs[run["key"] or run["nonce"]] += 1
            ran_any.add(run["key"] or run["nonce"])
    told = [each for load in loads + victim_loads for each in load.told]
    safe_told = [each for load in loads for each in load.told]
    answered = [each for each in told if each["end"] == "answered"]
    doubled = sorted(name for name, count in runs.items() if count > 1)
    false_not_run = sorted({each["name"] for each in answered if each["outcome"] == "not-run" and each["name"] in ran_any})
    never_run = sorted({each["name"] for each in answered if each["status"] == 200 and each["outcome"] == "answered"} - ran_any)
    lost = [each for each in safe_told if each["end"] in ("cut-off", "timed-out")]
    counts = collections.Counter(each["outcome"] or each["end"] for each in told)
    return {
        "requests": len(told), "answered": counts["answered"], "notRun": counts["not-run"], "unknown": counts["unknown"],
        "unknownOfFirst": sum(1 for each in safe_told if each["outcome"] == "unknown" and each["status"] != CONFLICT_STATUS),
        "keyed": sum(1 for each in told if each["key"]), "ends": dict(counts),
        "doubled": len(doubled), "falseNotRun": len(false_not_run), "answeredNeverRun": len(never_run),
        "foreign": sum(load.foreign for load in loads + victim_loads), "cutOff": len(lost),
        "dropped": sum(ledger["dropped"] for ledger in ledgers),
        "examples": {"doubled": doubled[:5], "falseNotRun": false_not_run[:5], "answeredNeverRun": never_run[:5], "cutOff": lost[:5]},
    }
