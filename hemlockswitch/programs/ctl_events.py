"""`hemlock-ctl events`: what happens in the system, as it happens."""

import json
from datetime import UTC, datetime

from cleo.helpers import option

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.process.status.fleet_events import FleetEvents
from hemlockswitch.programs.ctl_files import ExitCode
from hemlockswitch.programs.ctl_platform import PLATFORM_OPTIONS, PlatformCommand


class EventsCommand(PlatformCommand):
    """Follow the platform and write a line for each change."""

    name = "events"
    description = "Write what happens as it happens: revisions, leases, zones, backend servers."
    options = [
        *PLATFORM_OPTIONS,
        option("seconds", None, "End after so many seconds; without it, on Ctrl-C.", flag=False),
    ]
    help = """Begins with the present state, then writes a line for each change, with --json one
object a line. It holds three watches and reads the VM list every two seconds. The numbered events
of the daemons' own logs are in docs/reference/events.md.

Exit codes: 0 ended."""

    def run_command(self) -> int:
        """Follow until the time is over or Ctrl-C."""
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
