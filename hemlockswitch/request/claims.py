"""Claims: what a call with an idempotency key leaves behind so that it runs at most once."""

import base64
import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.request.fingerprint import hash_call

MAX_KEY_CHARACTERS = 255
KEPT_BODY_BYTES = 4_096
KEPT_HEADER_BYTES = 1_024
DIGEST_CHARACTERS = 32


@dataclass(frozen=True)
class StoredAnswer:
    """A service's whole answer, as a caller gets it and a claim keeps it.

    Parameters
    ==========

    status : HTTP status.
    headers : the headers passed on to the caller, in lower case.
    body : the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Outcome:
    """How a claimed call ended.

    Parameters
    ==========

    ran : whether the service ran it; ``no`` marks a claim that was given back.
    status, headers, body : the answer, where there is one; `body` is None when it or the headers
        were too large to keep.
    size_bytes, digest : of the whole body.
    error : the error kind, where there is no answer.
    """

    ran: Ran
    status: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    size_bytes: int = 0
    digest: str = ""
    error: str = ""

    @classmethod
    def from_answer(cls, answer: StoredAnswer) -> "Outcome":
        """Return the outcome of a call that was answered.

        Examples
        ========

        >>> Outcome.from_answer(StoredAnswer(200, {}, b"x" * 5_000)).body is None
        True
        """
        header_bytes = sum(len(name) + len(value) for name, value in answer.headers.items())
        fits = len(answer.body) <= KEPT_BODY_BYTES and header_bytes <= KEPT_HEADER_BYTES
        return cls(
            Ran.YES,
            answer.status,
            dict(answer.headers) if fits else {},
            answer.body if fits else None,
            len(answer.body),
            hashlib.sha256(answer.body).hexdigest()[:DIGEST_CHARACTERS],
        )

    @classmethod
    def from_error(cls, error: RequestError) -> "Outcome":
        """Return the outcome of a call that ended without a usable answer."""
        return cls(error.answer.ran, error=error.kind.value)

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Outcome":
        """Return the outcome that `to_value` wrote."""
        body = value.get("body")
        return cls(
            Ran(value["ran"]),
            value.get("status", 0),
            value.get("headers", {}),
            None if body is None else base64.b64decode(body),
            value.get("size", 0),
            value.get("digest", ""),
            value.get("error", ""),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the JSON-ready form."""
        if not self.status:
            return {"ran": self.ran.value, "error": self.error}
        value = {
            "ran": self.ran.value,
            "status": self.status,
            "headers": dict(self.headers),
            "size": self.size_bytes,
            "digest": self.digest,
        }
        if self.body is not None:
            value["body"] = base64.b64encode(self.body).decode()
        return value

    def replay(self) -> StoredAnswer:
        """Return the kept answer to a repeat.

        Raises
        ======

        RequestError : there is no answer, or its body was too large to keep; `ran` says what is
            known.
        """
        if not self.status:
            kind = ErrorKind(self.error) if self.error else ErrorKind.OUTCOME_UNKNOWN
            raise RequestError(kind, "the first call with this key ended so", ran=self.ran)
        if self.body is None:
            detail = (
                f"the call ran and was answered with status {self.status}; its body of "
                f"{self.size_bytes} bytes, sha256 {self.digest}..., was not kept"
            )
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.YES)
        return StoredAnswer(self.status, self.headers, self.body)


@dataclass(frozen=True)
class Claim:
    """One dispatch of a key's call, written before it.

    Parameters
    ==========

    claim_id : names this dispatch; a writer recognises its own claim by it.
    fingerprint : hash of what the call asks for.
    holder : the daemon that dispatches.
    made_wall_ms : when it was made; retention counts from here.
    ends_wall_ms : when its dispatch must have ended.
    outcome : how it ended, once known.
    """

    claim_id: str
    fingerprint: str
    holder: str
    made_wall_ms: int
    ends_wall_ms: int
    outcome: Outcome | None = None

    @classmethod
    def make(cls, fingerprint: str, holder: str, now_wall_ms: int, term_ms: int) -> "Claim":
        """Return a new claim with an identifier of its own."""
        ends_wall_ms = now_wall_ms + term_ms
        return cls(make_identifier("claim"), fingerprint, holder, now_wall_ms, ends_wall_ms)

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Claim":
        """Return the claim that `to_value` wrote."""
        outcome = value.get("outcome")
        return cls(
            value["id"],
            value["call"],
            value["holder"],
            value["made"],
            value["ends"],
            None if outcome is None else Outcome.from_value(outcome),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the JSON-ready form.

        Examples
        ========

        >>> claim = Claim.make("f", "entry-1", 5, 10)
        >>> Claim.from_value(claim.to_value()) == claim
        True
        """
        value: dict[str, Any] = {
            "id": self.claim_id,
            "call": self.fingerprint,
            "holder": self.holder,
            "made": self.made_wall_ms,
            "ends": self.ends_wall_ms,
        }
        if self.outcome is not None:
            value["outcome"] = self.outcome.to_value()
        return value


class Claims(Protocol):
    """Who makes sure that a key's call is dispatched once in the whole system."""

    def run_once(
        self,
        account: str,
        key: str,
        fingerprint: str,
        dispatch: Callable[[], StoredAnswer],
        limit_ms: float,
    ) -> StoredAnswer:
        """Return the key's answer, from `dispatch` or from an earlier call."""


def digest_key(account: str, key: str) -> str:
    """Return the name under which the claim of an account's key is kept.

    Raises
    ======

    RequestError : `BAD_REQUEST`, the key is empty or too long.

    Examples
    ========

    >>> digest_key("qafza", "k1") == digest_key("qafza", "k1") != digest_key("driftwood", "k1")
    True
    """
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        detail = f"an idempotency key has 1 to {MAX_KEY_CHARACTERS} characters"
        raise RequestError(ErrorKind.BAD_REQUEST, detail)
    text = f"{len(account)}:{account}{key}"
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()[:DIGEST_CHARACTERS]


def fingerprint_call(method: str, service: str, path: str, query: str, body: bytes) -> str:
    """Return a hash of what a call asks for; the same key with another one is refused."""
    return hash_call((method, service, path, query), body)
