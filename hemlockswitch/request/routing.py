"""The choice of a backend server for one request, by predicted time to the first token."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.request.prefixes import PrefixMemory
from hemlockswitch.version.backend import BackendServer

DEFAULT_TARGET_MS = 830
PATIENCE = 4.0
AFFINITY_BLOCKS = 4
TIE_SHARE = 0.1
TIE_MS = 5.0
MS_PER_SECOND = 1_000


@dataclass(frozen=True)
class Need:
    """What one request asks of a backend server.

    Parameters
    ==========

    target : name of the model or service.
    prefix_blocks : hashes of the prompt's leading blocks; empty for a plain service.
    prompt_tokens : tokens that must be computed before the first one, cache aside.
    max_tokens : most tokens of the answer.
    priority : 0 is first.
    exclude : names of servers that were tried already.
    deadline_ms : milliseconds that the caller still gives; None when not known.
    """

    target: str
    prefix_blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 1
    exclude: frozenset[str] = field(default_factory=frozenset)
    deadline_ms: float | None = None


@dataclass(frozen=True)
class Candidate:
    """A backend server that may get new work, with what is known of its load.

    Parameters
    ==========

    server : the backend server.
    own_requests : requests of this daemon in progress there.
    other_requests : estimate of the requests of all others there.
    own_prefill_tokens : prompt tokens of own requests that have no first token yet.
    other_waiting : estimate of others' requests that have no slot yet.
    slots : requests that it works on at once.
    prefill_tokens_per_s : speed of computing prompt tokens.
    service_ms : mean time that a request holds its slot.
    distance_ms : one way to its zone.
    """

    server: BackendServer
    own_requests: int = 0
    other_requests: float = 0.0
    own_prefill_tokens: int = 0
    other_waiting: float = 0.0
    slots: int = 16
    prefill_tokens_per_s: float = 4_000.0
    service_ms: float = 1_000.0
    distance_ms: float = 0.0


class CandidateSource(Protocol):
    """Who knows the backend servers; the process's directory."""

    def list_candidates(self, target: str) -> Sequence[Candidate]:
        """Return the servers for `target` that may get new work."""


class Router:
    """Chooses the backend server with the earliest predicted first token.

    Parameters
    ==========

    source : who knows the backend servers.
    find_target_ms : gives the wanted time to the first token of a model or service.
    """

    def __init__(self, source: CandidateSource, find_target_ms=lambda target: DEFAULT_TARGET_MS):
        self._source = source
        self._find_target_ms = find_target_ms
        self._memory = PrefixMemory()

    def choose(self, need: Need) -> BackendServer:
        """Return the server for `need` and remember what its cache will hold.

        Raises
        ======

        RequestError : `NO_BACKEND` when no server may take it, `OVERLOADED` with a time to come
            back when every server would start it too late. Nothing was sent.
        """
        candidates = [
            candidate
            for candidate in self._source.list_candidates(need.target)
            if candidate.server.name not in need.exclude
        ]
        if not candidates:
            raise RequestError(ErrorKind.NO_BACKEND, f"no backend server for {need.target}")
        times = {
            candidate.server.name: self.predict_first_token_ms(candidate, need)
            for candidate in candidates
        }
        best_ms = min(times.values())
        self._refuse_late(need, best_ms)
        margin_ms = best_ms * (1 + TIE_SHARE) + TIE_MS
        near = [one.server for one in candidates if times[one.server.name] <= margin_ms]
        chosen = self._break_tie(need, near)
        self._memory.remember(chosen.name, need.prefix_blocks)
        return chosen

    def predict_first_token_ms(self, candidate: Candidate, need: Need) -> float:
        """Return the time until the first token if `need` went to `candidate` now."""
        cached = self._memory.count_cached(candidate.server.name, need.prefix_blocks)
        prefill_tokens = max(need.prompt_tokens - cached, 0) + candidate.own_prefill_tokens
        prefill_ms = prefill_tokens / candidate.prefill_tokens_per_s * MS_PER_SECOND
        ahead = candidate.own_requests + candidate.other_requests
        beyond = max(ahead + 1 - candidate.slots, 0)
        queue_ms = beyond / candidate.slots * candidate.service_ms
        return queue_ms + prefill_ms + 2 * candidate.distance_ms

    def _refuse_late(self, need: Need, best_ms: float) -> None:
        allowed_ms = self._find_target_ms(need.target) * PATIENCE
        if need.deadline_ms is not None:
            allowed_ms = min(allowed_ms, need.deadline_ms)
        if best_ms > allowed_ms:
            raise RequestError(
                ErrorKind.OVERLOADED,
                f"every backend server for {need.target} would start too late",
                retry_after_ms=int(best_ms - allowed_ms) + 1,
            )

    def _break_tie(self, need: Need, near: Sequence[BackendServer]) -> BackendServer:
        cheapest = min(server.price_per_hour for server in near)
        names = {server.name: server for server in near if server.price_per_hour <= cheapest}
        if not need.prefix_blocks:
            key = f"{need.target}:{need.prompt_tokens}:{need.max_tokens}"
        else:
            leading = need.prefix_blocks[:AFFINITY_BLOCKS]
            key = str(leading[-1])
        return names[rank_rendezvous(key, names)[0]]
