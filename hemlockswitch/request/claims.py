"""Claims: stored records of calls with an idempotency key, which ensure that each runs at most once."""

import base64
import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.request.fingerprint import hash_call

MAX_KEY_CHARACTERS = 255
MAX_RETAINED_BODY_BYTES = 4_096
MAX_RETAINED_HEADER_BYTES = 1_024
DIGEST_CHARACTERS = 32


@dataclass(frozen=True)
class StoredAnswer:
    """A service's complete answer, as sent to the caller and stored in a claim.

    Parameters
    ==========

    status : HTTP status.
    headers : the headers relayed to the caller, with names in lower case.
    body : the body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True)
class Outcome:
    """Result of a claimed call.

    Parameters
    ==========

    ran : whether the service ran it; ``no`` marks a claim that was released.
    status, headers, body : the answer, if there is one; `body` is None if it or the headers were too
        large to store.
    size_bytes, digest : of the complete body.
    error : the error kind, if there is no answer.
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
        fits = (
            len(answer.body) <= MAX_RETAINED_BODY_BYTES
            and header_bytes <= MAX_RETAINED_HEADER_BYTES
        )
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
        """Return the outcome from the form written by `to_value`."""
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
        """Return the stored answer for a repeated call.

        Raises
        ======

        RequestError : there is no answer, or its body was too large to store; `ran` states whether the
            call ran.
        """
        if not self.status:
            kind = ErrorKind(self.error) if self.error else ErrorKind.OUTCOME_UNKNOWN
            raise RequestError(
                kind, "the first call with this idempotency key ended with this error", ran=self.ran
            )
        if self.body is None:
            detail = (
                f"the call ran and was answered with status {self.status}; its body of "
                f"{self.size_bytes} bytes, sha256 {self.digest}..., was not stored"
            )
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.YES)
        return StoredAnswer(self.status, self.headers, self.body)


@dataclass(frozen=True)
class Claim:
    """Record of one dispatch of a call with an idempotency key, written before the dispatch.

    Parameters
    ==========

    claim_id : identifies this dispatch; a writer recognises its own claim by it.
    fingerprint : hash of the call's content.
    holder : the daemon that dispatches.
    made_wall_ms : creation time, from which the retention period counts.
    ends_wall_ms : time by which the dispatch must have ended.
    outcome : result of the call; None until it is recorded.
    """

    claim_id: str
    fingerprint: str
    holder: str
    made_wall_ms: int
    ends_wall_ms: int
    outcome: Outcome | None = None

    @classmethod
    def make(cls, fingerprint: str, holder: str, now_wall_ms: int, term_ms: int) -> "Claim":
        """Return a new claim with a unique identifier."""
        ends_wall_ms = now_wall_ms + term_ms
        return cls(make_identifier("claim"), fingerprint, holder, now_wall_ms, ends_wall_ms)

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Claim":
        """Return the claim from the form written by `to_value`."""
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
    """Ensures that the call of an idempotency key is dispatched at most once in the complete system."""

    def run_once(
        self,
        account: str,
        key: str,
        fingerprint: str,
        dispatch: Callable[[], StoredAnswer],
        limit_ms: float,
    ) -> StoredAnswer:
        """Return the answer for the key, from `dispatch` or from an earlier call."""


def digest_key(account: str, key: str) -> str:
    """Return the name under which the claim of an account's idempotency key is stored.

    Raises
    ======

    RequestError : `BAD_REQUEST`, the key is empty or too long.

    Examples
    ========

    >>> digest_key("qafza", "k1") == digest_key("qafza", "k1") != digest_key("driftwood", "k1")
    True
    """
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        detail = f"an idempotency key must have 1 to {MAX_KEY_CHARACTERS} characters"
        raise RequestError(ErrorKind.BAD_REQUEST, detail)
    text = f"{len(account)}:{account}{key}"
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()[:DIGEST_CHARACTERS]


def fingerprint_call(method: str, service: str, path: str, query: str, body: bytes) -> str:
    """Return a hash of a call's content; a reused key with a different hash is refused."""
    return hash_call((method, service, path, query), body)
