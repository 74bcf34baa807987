"""CONFIG: a machine whose watch has lost one answer of the store goes on with the older configuration for some 20 s."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import fleet

# Requests are judged that are sent later than configApply and the whole of maxStretch after the ack.
JUDGED_AFTER_S = fleet.CONFIG_APPLY_S + fleet.MAX_STRETCH_S + 0.5
OBSERVED_S = 30.0


async def case(make, trouble):
    one = make({"zone-a": 3, "zone-b": 3})
    for service in ("bookings", "charges"):
        one.endpoints += [fleet.Endpoint(one, service, f"{service}-{number}", "zone-a" if number % 2 else "zone-b") for number in range(4)]

    def rules(service):
        return [{"name": "book", "kind": "unsafe", "prefix": "/book/", "action": {"service": service}}, {"name": "look", "kind": "safe", "prefix": "/look/", "action": {"service": "bookings"}}]

    await one.configure(rules("bookings"))
    await one.start()
    watching = sorted({machine for machine, kind, _ in one.store.waiting if kind == "config"})
    if not watching:
        raise fleet.CannotRun("no machine watches the configuration")
    chosen = watching[0]
    one.record.write("machines-that-watch", names=",".join(watching), chosen=chosen)
    lost = []

    def loses(machine, kind, connection, events):
        if not trouble or lost or machine != chosen or kind != "config":
            return False
        lost.append(connection)
        return True

    one.store.loses = loses
    # The route moves to the other service. One answer, which tells the chosen machine so, is lost.
    acknowledged = await one.configure(rules("charges"))
    sent = {}
    while time.monotonic() < acknowledged + OBSERVED_S:
        for daemon in one.daemons:
            at = time.monotonic()
            request_id, status, _ = await fleet.send(one, daemon, "POST", "/book/1", b"book")
            sent[request_id] = (at, daemon.name, status)
        await asyncio.sleep(0.5)
    ran_by = {request_id: endpoint.service for _, endpoint, request_id in one.runs}
    old = [(at - acknowledged, machine) for request_id, (at, machine, _) in sent.items() if ran_by.get(request_id) == "bookings"]
    print("machines that used the older configuration:", {machine: f"until {max(at for at, name in old if name == machine):.1f} s after the ack" for machine in {name for _, name in old}})
    late = [item for item in old if item[0] > JUDGED_AFTER_S]
    if not late:
        return []
    return [f"{len(late)} requests sent between {late[0][0]:.1f} and {late[-1][0]:.1f} s after the ack were run by the old service, at {', '.join(sorted({machine for _, machine in late}))}"]


fleet.play(HERE, case)
