"""A request that crashes its endpoints is refused. The store then returns from a copy that is some seconds old, and the request comes
again."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
import fleet as lib

FILING = {"name": "filing", "service": "filings", "safe": False, "timeout": 2.5}
RATE = 40
DEADLY = b"crash"
DEADLY_PATH = "/filing/deadly"
# How long an endpoint works on the deadly request before it ends, and until it is back.
CRASH_AFTER, BACK_AFTER = 0.4, 1.5
COPY_AGE = 6
AWAY = 0.5
# The caller repeats the request at the machines in turn.
RETRIES, RETRY_GAP = 6, 0.1
ALLOWED = 3


class Endpoint(lib.Endpoint):
    async def work_on(self, request_id, start, headers, body):
        if body != DEADLY:
            return await super().work_on(request_id, start, headers, body)
        await asyncio.sleep(CRASH_AFTER)
        self.fleet.spawn(self.crash(request_id))
        await asyncio.sleep(60)

    async def crash(self, request_id):
        self.note("crashed", id=request_id)
        await self.end("crash-ended")
        await asyncio.sleep(BACK_AFTER)
        self.born, self.sequence = int(lib.time.time() * 1000), 0
        await self.start()

    async def start(self):
        """Starts again at the address that it had."""
        await super().start()


async def send_deadly(fleet, daemon):
    return await fleet.request(daemon, FILING, body=DEADLY, path=DEADLY_PATH)


async def main(fleet):
    endpoints = [Endpoint(fleet, f"filings-{number}", "filings", f"zone-{number % 3 + 1}", 0.15) for number in range(10)]
    await fleet.start(endpoints)
    fleet.spawn(fleet.traffic(FILING, RATE))
    await asyncio.sleep(COPY_AGE + 1)
    for attempt in range(10):
        if await send_deadly(fleet, fleet.daemons[attempt % len(fleet.daemons)]) == 503:
            break
        await asyncio.sleep(0.3)
    else:
        return lib.NOT_RUN, "the deadly request was not refused at all"
    await asyncio.sleep(2)
    stored = list(fleet.store.objects.get("quarantines", {}))
    fleet.note("store", "holds", quarantines=stored)
    if lib.TROUBLE:
        fleet.store.command({"reject": 503})
        await asyncio.sleep(AWAY)
        fleet.store.command({"back": COPY_AGE, "reject": 0})
        fleet.note("store", "returned-from-copy", era=fleet.store.era, age=COPY_AGE, quarantines=list(fleet.store.objects.get("quarantines", {})))
    else:
        await asyncio.sleep(AWAY)
    # The store is stable, and the machines are in touch, once the stable window has passed.
    await asyncio.sleep(lib.STABLE + 2)
    crashed = len(fleet.find("crashed"))
    began = fleet.now()
    retries = [fleet.spawn(send_later(fleet, number)) for number in range(RETRIES)]
    statuses = await asyncio.gather(*retries)
    await asyncio.sleep(3)
    reached = [line for line in fleet.find("arrived", path=DEADLY_PATH) if line["t"] > began]
    lost = [line for line in fleet.find("got", status=502) if line["t"] > began and line["id"] not in {each["id"] for each in reached}]
    verdict = f"BUDGET: after {crashed} crashes and a refusal, {len(reached)} of {RETRIES} retries reached endpoints (allowed: {ALLOWED}) and crashed {len(fleet.find('crashed')) - crashed}; statuses {statuses}; {len(lost)} other unsafe requests got 502; stored before: {stored}"
    return (lib.BROKEN if len(reached) > ALLOWED else lib.HELD), verdict


async def send_later(fleet, number):
    await asyncio.sleep(number * RETRY_GAP)
    return await send_deadly(fleet, fleet.daemons[number % len(fleet.daemons)])


lib.run(pathlib.Path(__file__).resolve().parent, main, lambda folder: lib.Fleet(folder, [FILING]))
