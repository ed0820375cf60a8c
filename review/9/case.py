"""A request that crashes runners, while crashed runners start again under the ids that they had."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import BEAT_S, Clients, Site, judge_late, make_manifest, run_case  # noqa: E402

GATEWAYS = 8
RUNNERS = 6
SOUND_INTERVAL_S = 0.0125
SHARED_PARTS = 240
SHARED_TOKENS = 13_300
WARM_S = 8.0
DEADLY_INTERVAL_S = 1.5
BACK_S = 2.0
LENGTH_S = 20.0


async def play(record, scratch, keeps_id):
    site = Site(record, make_manifest(["llm"]))
    try:
        await site.start(scratch, GATEWAYS, [("llm", RUNNERS)])
        for runner in list(site.runners.values()):
            asyncio.ensure_future(
                site.revive(runner, BACK_S, keeps_id=keeps_id, first_beat_s=BEAT_S)
            )
        clients = Clients(site, SOUND_INTERVAL_S, SHARED_PARTS, SHARED_TOKENS)
        asyncio.ensure_future(clients.run())
        await asyncio.sleep(WARM_S)
        for number in range(int(LENGTH_S / DEADLY_INTERVAL_S)):
            asyncio.ensure_future(
                site.send(f"dead{number:04x}", ["dd00", "dd01"], b"deadly", "deadly")
            )
            await asyncio.sleep(DEADLY_INTERVAL_S)
        record.write(f"sound requests by status: {clients.statuses}")
        return judge_late(site, crashes=3, allowed=3)
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
