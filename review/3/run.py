"""DRAIN: a stalled relay brings back an endpoint that has left, and others send to it until they restart."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet

SERVICES = ("payouts", "charges", "bookings")
FREEZE_S = 0.52


async def case(make, trouble):
    one = make({"zone-a": 10})
    for service in SERVICES:
        one.endpoints += [fleet.Endpoint(one, service, f"{service}-{number}", "zone-a") for number in range(7)]
    await one.configure([{"name": service, "kind": "unsafe", "prefix": f"/{service}/", "action": {"service": service}} for service in SERVICES])
    await one.start()
    watching = sorted({machine for machine, kind, _ in one.store.waiting if kind == "servers"})
    if len(watching) < 2:
        raise fleet.CannotRun("fewer than two machines watch the endpoints")
    stalled = next(daemon for daemon in one.daemons if daemon.name == watching[-1])
    one.record.write("machines-that-watch", names=",".join(watching), stalled=stalled.name)
    breaches = []
    for service in SERVICES:
        breaches += await scale_in(one, service, stalled, trouble)
    return breaches


async def scale_in(one, service, stalled, trouble):
    """Adds an endpoint to the service and takes it away again while one machine stands still for a moment."""
    # It has just started, so that its entry changes with each heartbeat.
    endpoint = fleet.Endpoint(one, service, f"{service}-added", "zone-a", cold_s=6.0)
    await endpoint.start()
    await asyncio.sleep(1)
    endpoint.beating.cancel()
    for _ in range(2):
        await endpoint.heartbeat()
        await asyncio.sleep(fleet.HEARTBEAT_S)
    await asyncio.sleep(0.06)
    if trouble:
        one.record.write("frozen", machine=stalled.name)
        stalled.process.send_signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    await asyncio.sleep(0.02)
    await endpoint.heartbeat()
    await asyncio.sleep(0.1)
    # Some endpoints never report that they drain: their entry is removed, and they serve on.
    endpoint.leaving = True
    await one.store.remove("servers", endpoint.instance)
    removed_at = time.monotonic()
    one.record.write("entry-removed", endpoint=endpoint.name, instance=endpoint.instance)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    stalled.process.send_signal(signal.SIGCONT)
    one.record.write("woken", machine=stalled.name)
    await asyncio.sleep(max(0.0, removed_at + fleet.DRAIN_S + 1.0 - time.monotonic()))
    # In touch: all but the machine that stood still.
    machines = [daemon for daemon in one.daemons if daemon is not stalled]
    for _ in range(4):
        await asyncio.gather(*(fleet.send(one, daemon, "POST", f"/{service}/1", b"x") for daemon in machines for _ in range(4)))
        await asyncio.sleep(0.5)
    late = [at - removed_at for at, runner, _ in one.runs if runner is endpoint and at > removed_at + fleet.DRAIN_S]
    endpoint.server.close()
    return [f"{len(late)} requests reached {endpoint.name}, which had left, {late[0]:.1f} to {late[-1]:.1f} s after its removal"] if late else []


fleet.play(HERE, case)
