"""Calls with an idempotency key to the entry daemons of two zones, and their outcomes."""

from features.support.calls import call
from features.support.operator_files import ACCOUNT, KEY, SERVICE, ZONES
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.claims.routes import find_partition
from hemlockswitch.request.claims import digest_key

ENTRIES = tuple(f"entry-{zone}-{number}" for number in (1, 2) for zone in ZONES)
PATH = "/confirmations"
LIMIT_S = 20
BACKENDS = tuple(f"service-{zone}" for zone in ZONES)


def send(context, key, entry, body="slot 7", **options):
    """Send a call with an idempotency key and record the reply."""
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
    address = context.cluster.find_entry(entry)
    path = f"/services/{SERVICE}{PATH}"
    reply = call(address, "POST", path, body.encode(), headers, **options)
    context.sent.setdefault(key, []).append(reply)
    context.reply = reply
    return reply


def count_runs(context, key):
    stats = [context.cluster.read_stats(name) for name in BACKENDS]
    return sum(counts["runs_by_key"].get(key, 0) for counts in stats)


def list_kinds(replies):
    return [reply.json["error"]["kind"] for reply in replies if reply.status >= 400]


def choose_key(context, owner):
    """Return an unused key whose claim partition is owned by the daemon, and that partition."""
    for number in range(10_000):
        key = f"chosen{number}"
        partition = find_partition(digest_key(ACCOUNT, key))
        is_owned = rank_rendezvous(f"claims/{partition}", ENTRIES)[0] == owner
        if is_owned and key not in context.sent:
            return key, partition
    raise AssertionError(f"{owner} owns no claim partition")


def make_key_in_same_partition(context, key):
    """Return an unused key of the same partition."""
    partition = find_partition(digest_key(ACCOUNT, key))
    names = (f"beside{number}" for number in range(10_000))
    return next(
        name
        for name in names
        if find_partition(digest_key(ACCOUNT, name)) == partition and name not in context.sent
    )


def skip_refusal(reply, skipped_kind):
    return None if list_kinds([reply]) == [skipped_kind] else reply
