"""A prompt part that crashes runners, on a route that the manifest splits between two services."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import STABLE_S, Clients, Site, judge_late, make_manifest, run_case  # noqa: E402

GATEWAYS = 8
RUNNERS = 4
"""Runners of each service."""
SOUND_INTERVAL_S = 0.05
DEADLY_INTERVAL_S = 3.5
BACK_S = 2.0
LENGTH_S = 90.0
PART = "dd5eadfe"


async def play(record, scratch, has_deadly_part):
    services = ["llm-a", "llm-b"] if os.environ.get("SPLIT", "1") != "0" else ["llm-a"]
    split = [{"service": name, "weight": 1} for name in services]
    site = Site(record, make_manifest(services, split=split))
    site.is_deadly = lambda headers, _: has_deadly_part and PART in headers.get(
        "hemlockswitch-prompt-prefix", ""
    )
    try:
        await site.start(scratch, GATEWAYS, [(name, RUNNERS) for name in services])
        for runner in list(site.runners.values()):
            asyncio.ensure_future(site.revive(runner, BACK_S))
        clients = Clients(site, SOUND_INTERVAL_S)
        asyncio.ensure_future(clients.run())
        await asyncio.sleep(STABLE_S + 1)
        for number in range(int(LENGTH_S / DEADLY_INTERVAL_S)):
            parts = ["5c1e0001", PART, f"dd{number:04x}"]
            asyncio.ensure_future(
                site.send(f"dead{number:04x}", parts, f"text {number}".encode(), "with the part")
            )
            await asyncio.sleep(DEADLY_INTERVAL_S)
        record.write(f"sound requests by status: {clients.statuses}")
        return judge_late(site, crashes=5, allowed=3)
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
