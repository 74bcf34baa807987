"""The store loses two answers to watches, those that hold a configuration, shortly before it is sound again."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, OLD, NEW = "payouts.example", "settle-a", "settle-b"
LOSS_S = 4.5


def configuration(version, service):
    return fleet.configuration(version, [fleet.route(HOST, "scrap-payout", "/payout/", service, "unsafe")], [OLD, NEW])


async def main():
    case = fleet.Fleet(HERE / "record.txt")
    try:
        await case.begin([OLD, NEW], configuration(7, OLD), endpoints_each=2)
        await case.await_service("POST", HOST, "/payout/warm-up")
        await asyncio.sleep(fleet.STABLE_WINDOW_S + 1)

        def loses(method, target, status, value):
            events = value.get("events") if value else None
            return "config?watch" in target and bool(events) and events[-1]["object"]["spec"]["version"] == "00000009"

        began = case.record.note("the store begins to lose answers")
        answers = case.store.answers
        if TROUBLE:
            case.store.loses_answer = loses
        await asyncio.sleep(LOSS_S - 0.5)
        await case.store.put("config", "main", configuration(8, OLD))
        case.record.note("acknowledged", version=8, service=OLD)
        await asyncio.sleep(0.3)
        await case.store.put("config", "main", configuration(9, NEW))
        acknowledged = case.record.note("acknowledged", version=9, service=NEW)
        await asyncio.sleep(0.2)
        case.store.loses_answer = None
        ended = case.record.note("the store loses no more answers", lost=case.store.lost, answers=case.store.answers - answers)
        # The core is stable, and so all machines are in touch, once the store has been sound for stableWindow.
        await asyncio.sleep(fleet.STABLE_WINDOW_S + 0.1)
        sending = []
        while case.record.now() < ended + fleet.STABLE_WINDOW_S + 3:
            sending.append(case.spawn(case.request(case.daemons[len(sending) % len(case.daemons)], "POST", HOST, "/payout/1", "unsafe", b"amount=250")))
            await asyncio.sleep(0.05)
        answered = [await each for each in sending]
        ran = {line["id"]: line["service"] for line in case.record.of("run")}
        due = [each for each in answered if each["id"] in ran and each["sent"] > acknowledged + fleet.CONFIG_APPLY_S]
        stale = [each for each in due if ran[each["id"]] == OLD]
        last = max((each["sent"] - acknowledged for each in stale), default=0)
        print(f"{case.store.lost} of {case.store.answers} answers lost in {ended - began:.1f} s; {len(due)} requests run later than stableWindow after it, {len(stale)} of them by the old service, the last one sent {last:.1f} s after the ack")
        if not due:
            raise RuntimeError("nothing was run")
        return 1 if stale else 0
    finally:
        await case.end()


fleet.run(main)
