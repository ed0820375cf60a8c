"""Periodic sweep that detects passed deadlines and stalled streams, instead of a timer per generation."""

from hemlockswitch.core.clock import Clock
from hemlockswitch.request.attempt import AttemptLostError
from hemlockswitch.request.relay import Relay
from hemlockswitch.request.running import RunningGeneration

SWEEP_INTERVAL_MS = 100.0
FIRST_TOKEN_TIMEOUT_MS = 20_000.0
TOKEN_GAP_TIMEOUT_MS = 3_000.0


class OverdueSweep:
    """Ends generations past their deadline and abandons attempts on unresponsive backend servers.

    Parameters
    ==========

    relay : the relay whose running generations are checked.
    clock : the process's clock.
    """

    def __init__(self, relay: Relay, clock: Clock) -> None:
        self._relay = relay
        self._clock = clock

    def run(self) -> None:
        """Sweep periodically; never returns."""
        while True:
            self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            self.sweep()

    def sweep(self) -> None:
        """Check every running generation once."""
        now_ms = self._clock.now_ms()
        for running in list(self._relay.running.values()):
            if now_ms >= running.generation.deadline_ms:
                running.stop(running.build_overdue())
            elif self._is_unresponsive(running, now_ms):
                running.interrupt(AttemptLostError("the backend server became unresponsive"))

    @staticmethod
    def _is_unresponsive(running: RunningGeneration, now_ms: float) -> bool:
        """Return whether the server has sent nothing for too long.

        Time in which the relay does not read, because the caller blocks, is not counted.
        """
        exchange = running.exchange
        if exchange is None or not exchange.is_waiting:
            running.reads_seen = -1
            return False
        if exchange.reads != running.reads_seen:
            running.reads_seen = exchange.reads
            running.no_reads_since_ms = now_ms
            return False
        limit_ms = TOKEN_GAP_TIMEOUT_MS if running.connection_has_token else FIRST_TOKEN_TIMEOUT_MS
        return now_ms - running.no_reads_since_ms > limit_ms
