"""An entry of another writer with bytes that can't be read, and the end of all gateways."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins_2 import BEAT_S, STABLE_S, Clients, Site, make_manifest, run_case  # noqa: E402

GATEWAYS = 8
RUNNERS = 6
SOUND_INTERVAL_S = 0.05
BEFORE_S = 6.0
DOWN_S = 1.0
RECOVER_S = 12.0
AFTER_S = 10.0
MIN_SERVED = 0.25
UNREADABLE = "kv-\udcf6"
"""The byte 0xf6, which is no UTF-8, as the store's JSON has it: "kv-\\udcf6"."""


async def play(record, scratch, has_foreign_entry):
    site = Site(record, make_manifest(["llm"]))
    try:
        await site.start(scratch, GATEWAYS, [("llm", RUNNERS)])
        if has_foreign_entry:
            asyncio.ensure_future(write_foreign_entry(site))
        await asyncio.sleep(STABLE_S)
        before = await measure(site, BEFORE_S)
        await site.store.put("config", "main", make_manifest(["llm"]) | {"version": 7})
        record.write("operator: manifest 7 is acknowledged")
        await asyncio.gather(*(one.restart(down_s=DOWN_S) for one in site.gateways))
        record.write("the machines are back")
        await asyncio.sleep(RECOVER_S)
        after = await measure(site, AFTER_S)
        record.write(
            f"verdict: served before the final fault {before:.3f}, after recover_s {after:.3f}"
        )
        return before < MIN_SERVED or after >= MIN_SERVED
    finally:
        await site.stop()


async def write_foreign_entry(site):
    """Write an entry as another program would, every heartbeat."""
    for sequence in itertools.count(1):
        entry = {"service": "backup", "zone": UNREADABLE, "state": "ready", "sequence": sequence}
        site.record.write(f"another writer: writes servers/x-backup-1, sequence {sequence}")
        await site.store.put("servers", "x-backup-1", entry)
        await asyncio.sleep(BEAT_S)


async def measure(site, seconds):
    """Return the share of clients' requests in a time that are answered with 200."""
    clients = Clients(site, SOUND_INTERVAL_S)
    sending = asyncio.ensure_future(clients.run())
    await asyncio.sleep(seconds)
    sending.cancel()
    await asyncio.sleep(1.0)
    site.record.write(f"requests by status: {clients.statuses}")
    return clients.statuses.get(200, 0) / max(sum(clients.statuses.values()), 1)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
