"""Run ``hemlock-entry`` with another rule for the choice of servers: ``--choice NAME`` before its own options."""

from gevent import monkey

monkey.patch_all()

import sys

from hemlockswitch.programs.entry import main
from hemlockswitch.request import routing
from tools.routing_baselines import CHOICES


def pop_choice(arguments: list[str]) -> str:
    """Remove ``--choice NAME`` from the arguments and return the name."""
    place = arguments.index("--choice")
    name = arguments[place + 1]
    del arguments[place : place + 2]
    return name


if __name__ == "__main__":
    routing.DEFAULT_CHOICE = CHOICES[pop_choice(sys.argv)]
    sys.exit(main())
