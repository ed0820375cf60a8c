"""The HTTP API of the stand-in model engine."""

from typing import Any

import falcon
import gevent

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.standin.batch import Phase, Stream, spawn_batch, wait_for_change
from hemlockswitch.standin.engine import (
    ChatRequest,
    Engine,
    EngineSettings,
    KvExport,
    KvImport,
    Order,
)
from hemlockswitch.standin.faults import Faults
from hemlockswitch.standin.server import (
    SOCKET_KEY,
    RefusalError,
    cut_connection,
    make_application,
    read_body,
    serve_until_stopped,
)
from hemlockswitch.standin.streams import read_events, render_complete_answer

EVENT_STREAM = "text/event-stream"


class Chat:
    """``POST /v1/chat/completions``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Run a model request, with the active faults."""
        faults = self._engine.faults.take()
        if faults.delay_ms:
            self._engine.clock.sleep_ms(faults.delay_ms)
        if faults.cut_stage == "before_run":
            cut_connection(request.env[SOCKET_KEY])
        chat = read_body(request, ChatRequest)
        try:
            self._check(request, chat, faults)
        except RefusalError:
            self._engine.counts.refused += 1
            raise
        stream = self._engine.begin(chat, request.headers)
        if faults.mix_answers:
            self._engine.swap_answers(stream)
        if faults.cut_stage == "before_answer":
            cut_connection(request.env[SOCKET_KEY])
        if chat.stream:
            self._answer_events(request, response, stream, faults)
        else:
            self._answer_complete(response, stream, faults)

    def _check(self, request: falcon.Request, chat: ChatRequest, faults: Faults) -> None:
        engine = self._engine
        if faults.refuse_status:
            raise RefusalError(faults.refuse_status, "refused", faults.retry_after_ms)
        if engine.draining:
            raise RefusalError(503, "draining")
        if chat.model not in engine.models:
            raise RefusalError(404, "unknown_model")
        if request.get_header("X-Request-Id") in engine.batch.streams:
            raise RefusalError(409, "stream_exists")
        if engine.batch.is_full:
            raise RefusalError(503, "queue_full", faults.retry_after_ms)

    def _answer_events(
        self, request: falcon.Request, response: falcon.Response, stream: Stream, faults: Faults
    ) -> None:
        response.content_type = EVENT_STREAM
        response.set_header("X-Request-Id", stream.stream_id)
        connection = request.env[SOCKET_KEY]
        response.stream = read_events(self._engine.batch, stream, stream.start, faults, connection)

    def _answer_complete(self, response: falcon.Response, stream: Stream, faults: Faults) -> None:
        while not stream.ended:
            wait_for_change(stream, stream.produced)
        response.set_header("X-Request-Id", stream.stream_id)
        if stream.phase is Phase.CANCELLED:
            raise RefusalError(499, "cancelled")
        response.media = render_complete_answer(stream, faults)
        self._engine.batch.streams.pop(stream.stream_id, None)


class Streams:
    """``GET /v1/streams/{stream_id}`` and ``POST .../cancel``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response, stream_id: str) -> None:
        """Send the events of a stream from a position on."""
        stream = self._engine.batch.streams.get(stream_id)
        if stream is None:
            raise RefusalError(404, "unknown_stream")
        start = request.get_param_as_int("from", default=0) or 0
        if not stream.start <= start <= stream.produced:
            raise RefusalError(416, "no_such_position")
        self._engine.counts.resumed.append(stream_id)
        response.content_type = EVENT_STREAM
        response.stream = read_events(
            self._engine.batch,
            stream,
            start,
            self._engine.faults.take(),
            request.env[SOCKET_KEY],
        )

    def on_post_cancel(
        self, request: falcon.Request, response: falcon.Response, stream_id: str
    ) -> None:
        """Cancel a stream and free its slot."""
        stream = self._engine.batch.streams.get(stream_id)
        if stream is None:
            raise RefusalError(404, "unknown_stream")
        self._engine.batch.cancel(stream)
        response.media = {"produced": stream.produced}


class KvCaches:
    """``/v1/kv/export``, ``/v1/kv/import`` and ``/v1/kv/{handle}``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post_export(self, request: falcon.Request, response: falcon.Response) -> None:
        """Offer the KV cache of a stream."""
        stream = self._engine.batch.streams.get(read_body(request, KvExport).stream_id)
        if stream is None:
            raise RefusalError(404, "unknown_stream")
        response.media = self._engine.kv.export(stream)

    def on_post_import(self, request: falcon.Request, response: falcon.Response) -> None:
        """Pull a KV cache from another engine."""
        order = read_body(request, KvImport)
        response.media = self._engine.kv.pull(order.source, order.kv_handle)

    def on_get(self, request: falcon.Request, response: falcon.Response, handle: str) -> None:
        """Return a KV cache to the engine that pulls it."""
        response.media = self._engine.kv.describe(handle)


class Reports:
    """``GET /v1/load`` and ``GET /v1/cache-events``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get_load(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the last recorded load and its age."""
        response.media = self._engine.report_load()

    def on_get_events(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the published cache events after a number."""
        since = request.get_param_as_int("since", default=0) or 0
        response.media = self._engine.cache.list_events(since)


class Orders:
    """``POST /v1/orders``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Apply an order, which states the complete wanted state.

        An order with a stale fencing number is refused if the engine checks these.
        """
        order = read_body(request, Order)
        if self._engine.apply_order(order):
            response.media = {"highest": self._engine.highest_fencing}
            return
        response.status = 409
        response.media = {"error": "stale_fencing", "highest": self._engine.highest_fencing}


class Harness:
    """``/standin/stats``, ``/standin/faults``, ``/standin/leaving`` and ``/standin/drain``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get_stats(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the counts and the state that tests check."""
        response.media = self._engine.describe_stats()

    def on_post_faults(self, request: falcon.Request, response: falcon.Response) -> None:
        """Replace the active faults."""
        faults = read_body(request, Faults)
        self._engine.set_faults(faults)
        response.media = faults.model_dump()

    def on_post_leaving(self, request: falcon.Request, response: falcon.Response) -> None:
        """Mark the engine as leaving; requests that start after this are counted separately."""
        self._engine.leaving_since_ms = self._engine.clock.now_ms()
        response.media = {}

    def on_post_drain(self, request: falcon.Request, response: falcon.Response) -> None:
        """Drain the engine without an order, as if the engine had lost its state."""
        self._engine.draining = True
        response.media = {}


def build_application(engine: Engine) -> Any:
    """Return the WSGI application of an engine."""
    application = make_application()
    harness, reports, streams = Harness(engine), Reports(engine), Streams(engine)
    application.add_route("/v1/chat/completions", Chat(engine))
    application.add_route("/v1/streams/{stream_id}", streams)
    application.add_route("/v1/streams/{stream_id}/cancel", streams, suffix="cancel")
    kv_caches = KvCaches(engine)
    application.add_route("/v1/kv/export", kv_caches, suffix="export")
    application.add_route("/v1/kv/import", kv_caches, suffix="import")
    application.add_route("/v1/kv/{handle}", kv_caches)
    application.add_route("/v1/load", reports, suffix="load")
    application.add_route("/v1/cache-events", reports, suffix="events")
    application.add_route("/v1/orders", Orders(engine))
    application.add_route("/standin/stats", harness, suffix="stats")
    application.add_route("/standin/faults", harness, suffix="faults")
    application.add_route("/standin/leaving", harness, suffix="leaving")
    application.add_route("/standin/drain", harness, suffix="drain")
    return application


def serve_engine(settings: EngineSettings) -> None:
    """Serve an engine until the process receives a stop signal."""
    engine = Engine(settings, SystemClock())
    spawn_batch(engine.batch)
    gevent.spawn(engine.run_reports)
    serve_until_stopped(build_application(engine), settings.listen)
