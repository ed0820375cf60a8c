"""Admission of forwarded requests: determines route, client account, limit and deadline."""

from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

from hemlockswitch.connection.heads import ReceivedRequest
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.request.dialect import RequestFacts
from hemlockswitch.request.fingerprint import (
    hash_call,
    hash_content_at,
    hash_part,
    hash_shared_part,
)
from hemlockswitch.request.overload import QueueBound
from hemlockswitch.version.serving_table import ForwardedAccount, Route, ServingTable


class AccountLimiter(Protocol):
    """Enforces the limits of client accounts over all daemons."""

    def take(self, account: ForwardedAccount, amount: float, route: str = "") -> float | None:
        """Spend `amount` for a request on a route; return None, or the ms to wait if it would exceed the limit."""

    def give_back(self, account: ForwardedAccount, amount: float) -> None:
        """Return what a request has spent that was refused afterwards and has not run."""


@dataclass(frozen=True)
class AdmittedRequest:
    """A request with its properties from the active configuration.

    Parameters
    ==========

    request : the request as received.
    facts : the properties parsed from the request.
    route : the route that matches its host and path.
    service : name of the service that it is forwarded to.
    account : the client account; None if the route does not need one.
    revision : the configuration revision under which it was admitted.
    deadline_ms : clock time after which the caller no longer waits for the answer.
    queue_bound : limit on the time that it may queue for its first event.
    """

    request: ReceivedRequest
    facts: RequestFacts
    route: Route
    service: str
    account: ForwardedAccount | None
    revision: int
    deadline_ms: float
    queue_bound: QueueBound

    @property
    def urgency(self) -> int:
        """The account's priority if it has one, otherwise the route's; 0 is the most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @cached_property
    def fingerprint(self) -> str:
        """Hash of the request's content, identical for each attempt at any daemon."""
        account = self.account.name if self.account is not None else ""
        request = self.request
        parts = (account, request.method, self.facts.host, request.target)
        return hash_call(parts, request.body)

    @cached_property
    def content_fingerprints(self) -> tuple[str, ...]:
        """The fingerprint of the content, and that at the service if the route is split between several."""
        if not self.route.is_split:
            return (self.fingerprint,)
        return (self.fingerprint, hash_content_at(self.service, self.fingerprint))

    @cached_property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Fingerprints of the prompt's parts that other requests may contain too, each once, in order.

        Each part has one at the service, and one at any service.
        """
        if self.facts.prompt is None:
            return ()
        identifiers = dict.fromkeys(part.identifier for part in self.facts.prompt.shared_parts)
        return tuple(
            fingerprint
            for identifier in identifiers
            for fingerprint in (hash_part(self.service, identifier), hash_shared_part(identifier))
        )


def admit_request(
    table: ServingTable | None,
    request: ReceivedRequest,
    facts: RequestFacts,
    limiter: AccountLimiter,
) -> AdmittedRequest:
    """Return the admitted request.

    Raises
    ======

    RequestError : the request is refused; nothing was sent.
    """
    if table is None:
        raise RequestError(ErrorKind.NOT_READY, "no configuration is known here yet")
    route = table.find_route(facts.host, request.path)
    if route is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route has this host and path")
    account = _find_account(table, route, facts)
    _check_limit(limiter, account, facts, route.name)
    # The attempts of one stream go to the service of the first one.
    service = route.choose_service(facts.resumes or facts.request_id)
    return AdmittedRequest(
        request=request,
        facts=facts,
        route=route,
        service=service,
        account=account,
        revision=table.revision,
        deadline_ms=request.received_ms + _find_allowed_ms(route, facts),
        queue_bound=_find_queue_bound(table, route, service),
    )


def _find_queue_bound(table: ServingTable, route: Route, service: str) -> QueueBound:
    strictest_ms = table.find_strictest_objective_ms(service, route.priority)
    return QueueBound(min(strictest_ms, route.objective_ms), route.priority)


def measure_cost(account: ForwardedAccount, facts: RequestFacts) -> float:
    """Return the amount that a request is charged against its account's limit."""
    if not account.counts_tokens:
        return 1.0
    if facts.prompt is None:
        return float(account.uncounted_request_tokens)
    return float(facts.prompt.input_tokens + facts.prompt.max_output_tokens)


def give_back_cost(limiter: AccountLimiter, admitted: AdmittedRequest) -> None:
    """Return to its account what an admitted request was charged, because it has not run."""
    account = admitted.account
    if account is not None and account.rate_per_s > 0:
        limiter.give_back(account, measure_cost(account, admitted.facts))


def _find_account(
    table: ServingTable, route: Route, facts: RequestFacts
) -> ForwardedAccount | None:
    if not table.has_accounts:
        return None
    account = table.accounts_by_key.get(facts.key) if facts.key is not None else None
    if account is None and not route.is_public:
        raise RequestError(ErrorKind.UNAUTHORIZED, "no account has this key")
    return None if route.is_public else account


def _check_limit(
    limiter: AccountLimiter, account: ForwardedAccount | None, facts: RequestFacts, route: str
) -> None:
    if account is None or account.rate_per_s <= 0:
        return
    wait_ms = limiter.take(account, measure_cost(account, facts), route)
    if wait_ms is not None:
        kind = ErrorKind.TOKEN_LIMIT if account.counts_tokens else ErrorKind.REQUEST_LIMIT
        detail = f"account {account.name} is over its limit"
        raise RequestError(kind, detail, retry_after_ms=round(wait_ms))


def _find_allowed_ms(route: Route, facts: RequestFacts) -> float:
    if facts.time_left_ms is None:
        return route.timeout_ms
    return min(facts.time_left_ms, route.timeout_ms)
