"""Output of a stand-in engine's streams: server-sent events, complete answers, and faults."""

import json
from collections.abc import Iterator
from typing import Any

from hemlockswitch.standin.batch import Batch, Phase, Stream, wait_for_change
from hemlockswitch.standin.faults import Faults
from hemlockswitch.standin.server import cut_connection

DONE = b"data: [DONE]\n\n"


def describe_usage(stream: Stream) -> dict[str, int]:
    """Return the token counts sent at the end of an answer."""
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced,
        "cached_tokens": stream.cached_tokens,
        "recomputed_tokens": stream.recomputed_tokens,
        "total_tokens": stream.prompt_tokens + stream.produced,
    }


def _get_finish_reason(stream: Stream) -> str:
    return "stop" if stream.phase is Phase.FINISHED else "cancelled"


def render_token(stream: Stream, position: int) -> bytes:
    """Return the event of a token."""
    shown = stream.answered_with or stream
    return (
        f'id: {shown.stream_id}:{position}\ndata: {{"id": "{shown.stream_id}", '
        f'"object": "chat.completion.chunk", "model": "{shown.model}", "choices": '
        f'[{{"index": 0, "delta": {{"content": "{shown.token(position)}"}}, '
        f'"finish_reason": null}}]}}\n\n'
    ).encode()


def render_end(stream: Stream) -> bytes:
    """Return the last event, at the position after the last token, and the end mark."""
    choice = {"index": 0, "delta": {}, "finish_reason": _get_finish_reason(stream)}
    body = {
        "id": stream.stream_id,
        "object": "chat.completion.chunk",
        "model": stream.model,
        "choices": [choice],
        "usage": describe_usage(stream),
    }
    event = f"id: {stream.stream_id}:{stream.produced}\ndata: {json.dumps(body)}\n\n"
    return event.encode() + DONE


def render_complete_answer(stream: Stream, faults: Faults) -> dict[str, Any]:
    """Return the answer of an ended stream as a single object."""
    shown = stream.answered_with or stream
    stop = stream.produced
    if faults.truncate_after_tokens is not None:
        stop = min(stop, faults.truncate_after_tokens)
    content = "".join(shown.token(index) for index in range(stream.start, stop))
    message = {"role": "assistant", "content": content}
    choice = {"index": 0, "message": message, "finish_reason": _get_finish_reason(stream)}
    return {
        "id": shown.stream_id,
        "object": "chat.completion",
        "model": shown.model,
        "choices": [choice],
        "usage": describe_usage(stream),
    }


def read_events(
    batch: Batch, stream: Stream, start: int, faults: Faults, connection: Any
) -> Iterator[bytes]:
    """Yield the events of a stream from position `start` on, with `faults` applied.

    Explanation
    ===========

    Tokens produced while the connection was busy are sent in a single write. Closing the
    generator, as the server does when the caller has disconnected, detaches the reader.
    """
    batch.attach(stream)
    try:
        if faults.cut_stage == "after_headers":
            yield b": begun\n\n"
            cut_connection(connection)
        yield from _apply_faults(_write_events(stream, start), start, faults, connection)
    finally:
        batch.detach(stream)


def _write_events(stream: Stream, start: int) -> Iterator[list[bytes]]:
    sent = start
    while True:
        wait_for_change(stream, sent)
        produced = stream.produced
        events = [render_token(stream, position) for position in range(sent, produced)]
        sent = max(sent, produced)
        if stream.ended:
            yield [*events, render_end(stream)]
            return
        yield events


def _apply_faults(
    groups: Iterator[list[bytes]], start: int, faults: Faults, connection: Any
) -> Iterator[bytes]:
    if not _has_event_fault(faults):
        yield from map(b"".join, groups)
        return
    position = start
    delayed = b""
    for group in groups:
        for event in group:
            if position == faults.cut_after_tokens:
                cut_connection(connection)
            if position == faults.truncate_after_tokens:
                return
            out = event
            if faults.duplicate_every and position % faults.duplicate_every == 0:
                out = event + event
            if faults.reorder_every and position % faults.reorder_every == 0 and not delayed:
                delayed = out
            else:
                yield out + delayed
                delayed = b""
            position += 1
    if delayed:
        yield delayed


def _has_event_fault(faults: Faults) -> bool:
    return (
        faults.cut_after_tokens is not None
        or faults.truncate_after_tokens is not None
        or faults.duplicate_every > 0
        or faults.reorder_every > 0
    )
