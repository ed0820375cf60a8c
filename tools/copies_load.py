"""Open-loop load with a varying rate: ``python -m tools.copies_load SETTINGS RESULTS``.

The settings are those of `hemlock-load` with a list ``rates`` (requests per second, one for
each step of ``step_ms``); every step has its own seed.
"""

from gevent import monkey

monkey.patch_all()

import json
import sys
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.standin.load import Load
from hemlockswitch.standin.load_plan import Arrival, LoadSettings, plan_arrivals


class SteppedLoad(Load):
    """A load that runs several plans in sequence."""

    def __init__(self, steps: list[LoadSettings]) -> None:
        super().__init__(steps[0], SystemClock())
        self._steps = steps

    def _wait_for_arrivals(self) -> Iterator[Arrival]:
        offset_ms, number = 0.0, 0
        for step in self._steps:
            for arrival in plan_arrivals(step):
                due_ms = self._begun_ms + offset_ms + arrival.at_ms
                self._clock.sleep_ms(due_ms - self._clock.now_ms())
                self._results.start_lag.add(max(0, self._clock.now_ms() - due_ms))
                yield replace(arrival, number=number)
                number += 1
            offset_ms += step.duration_ms


def make_steps(settings: dict[str, Any]) -> list[LoadSettings]:
    """Return the settings of each step."""
    rates, step_ms = settings.pop("rates"), settings.pop("step_ms")
    seed = settings.pop("seed")
    return [
        LoadSettings(
            **settings, seed=seed * 1_000 + place, duration_ms=step_ms, requests_per_s=rate
        )
        for place, rate in enumerate(rates)
    ]


if __name__ == "__main__":
    settings_file, results_file = map(Path, sys.argv[1:3])
    results = SteppedLoad(make_steps(json.loads(settings_file.read_text()))).run()
    results_file.write_text(json.dumps(results))
