"""Caller of `hemlock-load`: sends a request, retries it as advised, and checks the answer."""

import contextlib
import http.client
import json
from collections.abc import Iterator
from typing import Any

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.standin.load_plan import Arrival, CallMix, ChatMix
from hemlockswitch.standin.load_results import Outcome, Verdict
from hemlockswitch.standin.verification import (
    AnswerCheck,
    ServerEvent,
    check_complete_answer,
    read_server_events,
)

READ_BYTES = 65_536
MIN_RETRY_DELAY_MS = 20.0
LOST_CONNECTION_RETRY_MS = 100.0
CONNECTION_ERRORS = (OSError, http.client.HTTPException)


class GiveUpError(Exception):
    """The caller's time limit is reached, or a retry would not help."""


class Caller:
    """Sends the request of an arrival and follows it to its end.

    Parameters
    ==========

    arrival : the request to send.
    entries : addresses on which the entry daemons serve callers.
    patience_ms : time after which the caller gives up, counted from its creation.
    clock : source of time.
    """

    def __init__(
        self, arrival: Arrival, entries: tuple[str, ...], patience_ms: float, clock: Clock
    ) -> None:
        self._arrival = arrival
        self._entries = entries
        self._clock = clock
        self._due_ms = clock.now_ms()
        self._time_limit_ms = self._due_ms + patience_ms
        self._last_token_ms: float | None = None
        self._last_refusal: dict[str, Any] | None = None
        self._key = make_identifier("key")
        self.outcome = Outcome(arrival.number, arrival.account.name, arrival.mix.kind)
        self.check = AnswerCheck(
            getattr(arrival.mix, "model", ""), arrival.prompt, arrival.max_tokens
        )

    def run(self) -> Outcome:
        """Send the request and return its outcome."""
        outcome = self.outcome
        try:
            if isinstance(self._arrival.mix, CallMix):
                self._run_call(self._arrival.mix)
            elif self._arrival.mix.stream:
                self._run_stream(self._arrival.mix)
            else:
                self._run_unstreamed(self._arrival.mix)
        except GiveUpError as error:
            if outcome.verdict is Verdict.UNFINISHED:
                self._record_error(self._last_refusal or {"kind": str(error)})
        outcome.took_ms = self._clock.now_ms() - self._due_ms
        outcome.tokens = outcome.tokens or self.check.tokens
        return outcome

    # Streams, answers in one piece, and service calls

    def _run_stream(self, mix: ChatMix) -> None:
        while not self._stream_once(mix):
            self._check_time_limit()
        if self.outcome.verdict is not Verdict.UNFINISHED:
            return
        self.outcome.problems = self.check.list_problems()
        self.outcome.recomputed_tokens = self.check.usage.get("recomputed_tokens")
        self.outcome.verdict = Verdict.WRONG if self.outcome.problems else Verdict.WHOLE

    def _stream_once(self, mix: ChatMix) -> bool:
        """Read the stream over one connection; return whether the request has ended."""
        try:
            with contextlib.closing(self._connect()) as connection:
                answer = self._send_stream(connection, mix)
                if answer.status != 200:
                    self._handle_refusal(answer, may_repeat=True)
                    return False
                return self._read_stream(answer)
        except CONNECTION_ERRORS:
            self.outcome.lost_connections += 1
            self._wait(LOST_CONNECTION_RETRY_MS)
            return False

    def _send_stream(
        self, connection: http.client.HTTPConnection, mix: ChatMix
    ) -> http.client.HTTPResponse:
        headers = self._make_headers()
        if not self.check.request_id:
            body = json.dumps(self._make_chat(mix)).encode()
            connection.request("POST", "/v1/chat/completions", body, headers)
            return self._get_answer(connection)
        self.outcome.resumed += 1
        if self.check.last_event_id:
            headers["Last-Event-ID"] = self.check.last_event_id
        connection.request("GET", f"/v1/requests/{self.check.request_id}", None, headers)
        return self._get_answer(connection)

    def _get_answer(self, connection: http.client.HTTPConnection) -> http.client.HTTPResponse:
        answer = connection.getresponse()
        if not self.check.request_id and answer.status == 200:
            self.check.request_id = answer.getheader("X-Request-Id") or ""
        return answer

    def _read_stream(self, answer: http.client.HTTPResponse) -> bool:
        for event in read_server_events(iterate_lines(answer)):
            if event.name == "moved":
                self.outcome.moved += 1
                self._wait(json.loads(event.data).get("retry_after_ms", 0))
                return False
            if event.name == "error":
                self._record_error(json.loads(event.data)["error"])
                return True
            self._apply_event(event)
            if self.check.done:
                return True
            if 0 < self._arrival.give_up_after <= self.check.tokens:
                self.outcome.verdict = Verdict.LEFT
                return True
        self.outcome.lost_connections += 1
        return False

    def _apply_event(self, event: ServerEvent) -> None:
        tokens = self.check.tokens
        self.check.check_event(event)
        if self.check.tokens == tokens:
            return
        now_ms = self._clock.now_ms()
        if self._last_token_ms is None:
            self.outcome.first_token_ms = now_ms - self._due_ms
        else:
            self.outcome.gaps_ms.append(now_ms - self._last_token_ms)
        self._last_token_ms = now_ms

    def _run_unstreamed(self, mix: ChatMix) -> None:
        answer = self._exchange("POST", "/v1/chat/completions", self._make_chat(mix), True)
        if answer is None:
            return
        tokens = self._arrival.max_tokens
        problems = check_complete_answer(answer, mix.model, self._arrival.prompt, tokens)
        self.outcome.tokens = tokens
        self.outcome.problems = problems
        self.outcome.verdict = Verdict.WRONG if problems else Verdict.WHOLE

    def _run_call(self, mix: CallMix) -> None:
        may_repeat = mix.keyed or mix.repeatable
        path = f"/services/{mix.service}{mix.path}"
        answer = self._exchange(mix.method, path, {"text": self._arrival.text}, may_repeat)
        if answer is None:
            return
        if json.loads(answer.get("body") or "{}").get("text") == self._arrival.text:
            self.outcome.verdict = Verdict.WHOLE
            return
        self.outcome.problems = ["the answer repeats another call"]
        self.outcome.verdict = Verdict.WRONG

    def _exchange(self, method: str, path: str, body: Any, may_repeat: bool) -> Any:
        """Return the decoded answer, or None if the request ended without an answer."""
        while self.outcome.verdict is Verdict.UNFINISHED:
            self._check_time_limit()
            try:
                with contextlib.closing(self._connect()) as connection:
                    headers = self._make_headers()
                    connection.request(method, path, json.dumps(body).encode(), headers)
                    answer = connection.getresponse()
                    if answer.status == 200:
                        return json.loads(answer.read())
                    self._handle_refusal(answer, may_repeat)
            except CONNECTION_ERRORS as error:
                self.outcome.lost_connections += 1
                # A refused connection carried no request, so a retry cannot run it twice.
                if not may_repeat and not isinstance(error, ConnectionRefusedError):
                    self.outcome.verdict = Verdict.UNKNOWN
                    return None
                self._wait(LOST_CONNECTION_RETRY_MS)
        return None

    # Parts of an exchange

    def _connect(self) -> http.client.HTTPConnection:
        draw = self._arrival.entry_draws + self.outcome.tries * 7
        self.outcome.tries += 1
        self._last_refusal = None
        left_s = max(self._time_limit_ms - self._clock.now_ms(), 1) / MS_PER_SECOND
        address = self._entries[draw % len(self._entries)]
        return http.client.HTTPConnection(address, timeout=left_s)

    def _make_headers(self) -> dict[str, str]:
        left_ms = int(max(self._time_limit_ms - self._clock.now_ms(), 1))
        headers = {
            "Authorization": f"Bearer {self._arrival.account.key}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(left_ms),
        }
        mix = self._arrival.mix
        if isinstance(mix, CallMix) and mix.keyed:
            headers["Idempotency-Key"] = self._key
        if isinstance(mix, ChatMix) and mix.priority is not None:
            headers["X-Priority"] = str(mix.priority)
        return headers

    def _make_chat(self, mix: ChatMix) -> dict[str, Any]:
        messages = [{"role": "user", "content": self._arrival.text}]
        return {
            "model": mix.model,
            "messages": messages,
            "max_tokens": self._arrival.max_tokens,
            "stream": mix.stream,
        }

    def _handle_refusal(self, answer: http.client.HTTPResponse, may_repeat: bool) -> None:
        """Wait for the advised retry delay, or give up if a retry would not help."""
        content = answer.read()
        error = read_error(content, answer.status)
        retry_after = answer.getheader("Retry-After")
        repeat = retry_after is not None and (may_repeat or error.get("ran") == "no")
        if not repeat:
            self._record_error(error)
            raise GiveUpError
        self.outcome.refusals.append(error["kind"])
        self._last_refusal = error
        header_ms = float(retry_after or 0) * MS_PER_SECOND
        self._wait(error.get("retry_after_ms") or header_ms)

    def _record_error(self, error: dict[str, Any]) -> None:
        self.outcome.error_kind = error.get("kind", "")
        self.outcome.ran = error.get("ran", "")
        refused = self.outcome.ran == "no"
        self.outcome.verdict = Verdict.REFUSED if refused else Verdict.FAILED

    def _wait(self, duration_ms: float) -> None:
        self._clock.sleep_ms(max(duration_ms, MIN_RETRY_DELAY_MS))

    def _check_time_limit(self) -> None:
        if self._clock.now_ms() >= self._time_limit_ms:
            raise GiveUpError("patience is over")


def read_error(content: bytes, status: int) -> dict[str, Any]:
    """Return the error in a refusal's body; a body of another form yields a kind by its status.

    Examples
    ========

    >>> read_error(b'{"error": "refused"}', 503)
    {'kind': 'status_503', 'ran': ''}
    """
    try:
        error = json.loads(content)["error"]
    except (ValueError, KeyError, TypeError):
        error = None
    return error if isinstance(error, dict) else {"kind": f"status_{status}", "ran": ""}


def iterate_lines(answer: http.client.HTTPResponse) -> Iterator[bytes]:
    """Yield the lines of an answer as they arrive; a read may contain several lines."""
    remaining = b""
    while piece := answer.read1(READ_BYTES):
        *lines, remaining = (remaining + piece).split(b"\n")
        yield from lines
