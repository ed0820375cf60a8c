"""`hemlock-ctl events`: a live feed of changes in the system."""

import json
from datetime import UTC, datetime

from cleo.helpers import option

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.process.status.fleet_events import FleetEvents
from hemlockswitch.programs.ctl_files import ExitCode
from hemlockswitch.programs.ctl_platform import PLATFORM_OPTIONS, PlatformCommand


class EventsCommand(PlatformCommand):
    """Watch the platform and write a line for each change."""

    name = "events"
    description = "Write changes as they occur: revisions, leases, zones, backend servers."
    options = [
        *PLATFORM_OPTIONS,
        option("seconds", None, "Seconds to run; without it, until Ctrl-C.", flag=False),
    ]
    help = """Writes the current state, then a line for each change; with --json, one object per line.
It uses three watches and reads the VM list every two seconds. The numbered events in the logs of
the daemons are described in docs/reference/events.md.

Exit codes: 0 ended."""

    def run_command(self) -> int:
        """Write events until the given time has passed or Ctrl-C is pressed."""
        seconds = self.option("seconds")
        duration_ms = self.read_seconds("seconds") * MS_PER_SECOND if seconds else None
        try:
            for event in FleetEvents(self.client, self.clock).follow(duration_ms):
                wall_ms = self.clock.wall_ms()
                if self.option("json"):
                    self.line(json.dumps(event.describe() | {"wall_ms": wall_ms}))
                    continue
                at = datetime.fromtimestamp(wall_ms / MS_PER_SECOND, UTC)
                self.line(f"{at:%H:%M:%S} {event.what} {event.name}: {event.text}")
        except KeyboardInterrupt:
            pass
        return ExitCode.DONE
