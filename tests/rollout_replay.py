"""Replay without a network of rollouts in a fleet of gateways.

Gateways, the holder of the duties, the store and the servers are driven by one clock. Messages are
delayed and some are lost, gateways are killed and restarted, the holder freezes or is killed, the store is
unavailable to some or all gateways, and the demand varies. The command
`python -m tests.rollout_replay --gateways 83 --seeds 20` prints the results for each kind of version.
"""

import argparse
import math
from collections import Counter

from hemlockswitch.core.logs import set_log_writer
from tests.rollout_fleet import VERSIONS
from tests.rollout_plays import Replay


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--gateways", type=int, default=83)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--limit", type=float, default=12.0)
    parser.add_argument("--calm", action="store_true", help="without faults")
    parser.add_argument("--versions", nargs="*", default=list(VERSIONS))
    options = parser.parse_args()
    set_log_writer(lambda *args, **fields: None)
    for name in options.versions:
        played = [
            Replay(
                options.gateways,
                seed,
                VERSIONS[name],
                limit_s=options.limit,
                faults=not options.calm,
            ).run()
            for seed in range(options.first, options.first + options.seeds)
        ]
        print(describe(name, played, options.limit * 1_000), flush=True)


def describe(name, played, limit_ms):
    """Return a line that summarizes all replays of a version."""
    states = Counter(one.state for one in played)
    bad = sorted(one.bad for one in played)
    late = sum(limit_ms < one.closed_ms < math.inf for one in played)
    return (
        f"{name:10} {dict(states)}, {late} of them late; over the bound {sum(one.most_over > 0 for one in played)}"
        f" (most {max(one.most_over for one in played):.0f}), sends after the stop"
        f" {sum(one.late_sends for one in played)}, bad answers {bad[len(bad) // 2]}/{bad[-1]},"
        f" sent {sum(one.sent for one in played) / len(played):.0f} of"
        f" {sum(one.asked for one in played) / len(played):.0f}, cut"
        f" {sum(one.cut for one in played) / len(played):.0f}, resumed"
        f" {sum(one.resumed for one in played) / len(played):.0f}, changed after the end"
        f" {sum(one.final_changes for one in played)}, reasons"
        f" {dict(Counter(one.reason for one in played if one.reason))}"
    )


if __name__ == "__main__":
    main()
