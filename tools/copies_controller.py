"""Run ``hemlock-controller`` with another rule for copies: ``--rule NAME`` before its own options."""

from gevent import monkey

monkey.patch_all()

import sys

from hemlockswitch.process.copies import controller
from hemlockswitch.programs.controller import main
from tools.copies_baselines import find_rule


def pop_rule(arguments: list[str]) -> str:
    """Remove ``--rule NAME`` from the arguments and return the name."""
    place = arguments.index("--rule")
    name = arguments[place + 1]
    del arguments[place : place + 2]
    return name


if __name__ == "__main__":
    controller.Planner = find_rule(pop_rule(sys.argv))  # type: ignore[misc]
    sys.exit(main())
