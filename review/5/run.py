"""BUDGET: a request that crashes its endpoints after they have begun to answer is never refused."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import fleet

BACK_AFTER_S = 3.0
COMEBACK_S = 1.5
COMEBACKS = 20
# "none": the endpoint crashes before the first byte of its answer; the comparison that the claim names.
BEGINS = os.environ.get("BEGINS", "body")


class Crashing(fleet.Endpoint):
    async def work(self, request, writer):
        if self.fleet.trouble and request[2] == b"deadly":
            request_id = request[1].get(fleet.REQUEST_ID.lower(), "")
            if BEGINS != "none":
                whole = fleet.response(200, {**self.headers(request_id), fleet.SIGNATURE: f"{self.instance}.{request_id}.4000"}, b"x" * 4000)
                writer.write(whole[:-3000])
                await writer.drain()
            await asyncio.sleep(0.05)
            self.fleet.crashes.append(time.monotonic())
            self.crash()
            self.fleet.spawn(self.come_back())
            return None
        return await super().work(request, writer)

    async def come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await self.start()


async def case(make, trouble):
    one = make({"zone-a": 2, "zone-b": 2})
    one.trouble, one.crashes = trouble, []
    one.endpoints = [Crashing(one, "bookings", f"bookings-{number}", "zone-a" if number % 2 else "zone-b") for number in range(6)]
    await one.configure([{"name": "booking", "kind": "unsafe", "prefix": "/booking/", "action": {"service": "bookings"}, "attempts": 2}])
    await one.start()

    async def others():
        number = 0
        while True:
            number += 1
            one.spawn(fleet.send(one, one.daemons[number % len(one.daemons)], "POST", f"/booking/{number}", b"book"))
            await asyncio.sleep(0.1)

    one.spawn(others())
    retries = []
    for number in range(COMEBACKS):
        request_id, status, _ = await fleet.send(one, one.daemons[number % len(one.daemons)], "POST", "/booking/d", b"deadly")
        retries.append((request_id, status))
        await asyncio.sleep(COMEBACK_S)
    ids = {request_id for request_id, _ in retries}
    print("answers to the request that crashes endpoints:", [status for _, status in retries], "crashes:", len(one.crashes))
    if len(one.crashes) < 3:
        return []
    limit = one.crashes[2] + fleet.STABLE_WINDOW_S
    late = [request_id for at, _, request_id in one.runs if request_id in ids and at > limit]
    return [f"{len(late)} comebacks reached endpoints later than stableWindow after the third crash; {len(one.crashes)} crashes in all"] if len(late) > 3 else []


fleet.play(HERE, case)
