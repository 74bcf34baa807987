"""A machine that decides about one service freezes while it has requests of a second machine in its queue. The second machine's
process is killed and starts again. Then the first machine wakes."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import fleet as lib

# Figures of `sites/apaa-gateway.toml`: 4 slots, 320 ms of work, an aim of 1,500 ms, a deadline of 8,000 ms.
SLOTS, WORK, AIM, DEADLINE = 4, 0.32, 1500, 8.0
KINDS = [{"name": name, "service": f"{name}-service", "safe": False, "timeout": DEADLINE, "aim": AIM} for name in ("reserve", "charge", "refund", "notice")]
ENDPOINTS = 2
# One frozen and one killed are a tenth each.
DAEMONS = 10
BURST = 24
RESTART = 0.5


def dispatchers(fleet):
    """Returns the name of the daemon that grants slots of each service, as its log says."""
    found = {}
    for daemon in fleet.daemons:
        for line in daemon.log_lines():
            if line.get("part") == "dispatch" and line.get("event") == "pool-opened":
                found[line["group"].split("/")[0]] = daemon
    return found


async def main(fleet):
    endpoints = [lib.Endpoint(fleet, f"{kind['name']}-{number}", kind["service"], f"zone-{number + 1}", WORK, SLOTS) for kind in KINDS for number in range(ENDPOINTS)]
    await fleet.start(endpoints)
    by_service = {}
    for probe in range(2):
        for kind in KINDS:
            await fleet.request(fleet.daemons[0], kind, deadline=DEADLINE)
    by_service = dispatchers(fleet)
    pairs = [(first, second) for first in KINDS for second in KINDS if first is not second and by_service[first["service"]] is not by_service[second["service"]] and fleet.daemons[0] is not by_service[first["service"]]]
    if not pairs:
        return lib.NOT_RUN, "all services have one dispatcher"
    first, second = pairs[0]
    decides = by_service[first["service"]]
    other = fleet.daemons[0]
    killed = next(daemon for daemon in fleet.daemons if daemon not in (decides, by_service[second["service"]], other))
    fleet.note("runner", "chosen", frozen=decides.name, killed=killed.name, first=first["name"], second=second["name"])
    await asyncio.sleep(1)

    # Many users come at once: the slots of the first service are taken, and further requests wait.
    for _ in range(ENDPOINTS * SLOTS):
        fleet.spawn(fleet.request(other, first, deadline=DEADLINE))
    await asyncio.sleep(0.05)
    for _ in range(BURST):
        fleet.spawn(fleet.request(killed, first, deadline=DEADLINE))
    await asyncio.sleep(0.1)
    if lib.TROUBLE:
        decides.signal(signal.SIGSTOP)
        await asyncio.sleep(0.05)
        await killed.kill()
        await asyncio.sleep(RESTART)
        await killed.start()
        await killed.await_ready(5)
    else:
        await asyncio.sleep(RESTART + 0.3)
    # The same for the second service.
    for _ in range(ENDPOINTS * SLOTS):
        fleet.spawn(fleet.request(other, second, deadline=DEADLINE))
    await asyncio.sleep(0.05)
    for _ in range(BURST):
        fleet.spawn(fleet.request(killed, second, deadline=DEADLINE))
    await asyncio.sleep(0.1)
    if lib.TROUBLE:
        decides.signal(signal.SIGCONT)
    await asyncio.sleep(6)
    allowed = {kind["name"]: kind["service"] for kind in KINDS}
    foreign = [line for line in fleet.find("run") if line["service"] != allowed[next(each["kind"] for each in fleet.find("sent", id=line["id"]))]]
    answered = [line["status"] for line in fleet.find("got") if line["id"] in {each["id"] for each in foreign}]
    verdict = f"ROUTE: {len(foreign)} requests were run by a service to which no configuration sends them; their clients got {answered}"
    return (lib.BROKEN if foreign else lib.HELD), verdict


lib.run(pathlib.Path(__file__).resolve().parent, main, lambda folder: lib.Fleet(folder, KINDS, daemons=DAEMONS))
