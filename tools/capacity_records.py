"""Measure the size and encoding time of the objects that grow with the number of daemons and accounts."""

import json
import time

from hemlockswitch.process.shares.record import Entry, Granted, ShareRecord
from hemlockswitch.process.shares.units import Units

DAEMONS_AND_ACCOUNTS = ((8, 5), (106, 5), (106, 50))
UNITS = Units(10, 2_000, 8)


def make_share_record(daemons: int, accounts: int) -> ShareRecord:
    """Return the share record of a zone in which every daemon has a share of every account."""
    grants = {f"account-{number}": UNITS for number in range(accounts)}
    granted = Granted(grants, grants, grants)
    names = [f"entry-{number:04}" for number in range(daemons)]
    entries = [Entry(name, "0123456789abcdef01234567", 123_456, granted) for name in names]
    return ShareRecord({entry.key: entry for entry in entries})


def measure_share_records() -> list[dict]:
    """Return size and encoding time by number of daemons and accounts."""
    results = []
    for daemons, accounts in DAEMONS_AND_ACCOUNTS:
        record = make_share_record(daemons, accounts)
        started = time.process_time()
        encoded = json.dumps(record.to_value())
        spent_ms = (time.process_time() - started) * 1_000
        results.append(
            {
                "daemons": daemons,
                "accounts": accounts,
                "bytes": len(encoded),
                "processor_ms": spent_ms,
            }
        )
    return results


def print_share_records(results: list[dict]) -> None:
    """Print one row for each record."""
    for result in results:
        print(
            f"shares   {result['daemons']} daemons, {result['accounts']} accounts: "
            f"{result['bytes']} bytes, {result['processor_ms']:.1f} ms to encode"
        )
