"""Which software version began a stream that a caller takes up again, possibly at another gateway.

While servers of one version only are registered for a service, its streams need no record. Otherwise the gateway
that begins or continues a stream sends a record to its holders before the caller gets the first event, and a
gateway that has no record asks them, and reads what is stored in the object service. A stream of unknown origin
goes on only if all servers that may have begun it had one version.
"""

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.process_spans import ProcessSpan
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PeerError, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.peer_groups import Peer
from hemlockswitch.process.gateway.stream_holders import ASKED, HOLDERS, choose_holders
from hemlockswitch.process.gateway.stream_messages import (
    MAX_RECORDS_PER_MESSAGE,
    UNCERTAIN,
    StreamQuery,
    StreamReply,
    StreamsBegun,
    StreamsUncertain,
    decode_record,
    encode_record,
)
from hemlockswitch.process.gateway.stream_origins import (
    MAX_UNCERTAIN_MS,
    ServerEvidence,
    StreamOrigins,
    UncertainStream,
)
from hemlockswitch.process.gateway.version_history import (
    MAX_LIST_AGE_MS,
    VersionEvidence,
    VersionHistory,
)
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.stream_records import StreamKey, StreamRecord, StreamRecords
from hemlockswitch.version.backend import BackendServer

LIFE_FACTOR = 2.0
"""A caller may take a stream up for this multiple of its route's time limit."""
MAX_UNCONFIRMED_LIST_AGE_MS = 500.0
"""The same while no other gateway replies, so that this one may be cut off: too short for a new server to be
listed elsewhere, begin a stream and lose it."""
RECORDING_MARGIN_MS = 20_000.0
"""How much longer than their lives records are sent after a service had several versions; longer than the object
service keeps the versions, so that each stream whose version it does not tell has a record."""
QUERY_TIMEOUT_MS = 250.0
ASK_TIMEOUT_MS = 300.0
"""Limits the wait for all replies, including the time to send the questions."""
UNINTERRUPTED = ProcessSpan()
UNCERTAIN_POLL_MS = 50.0
"""How often a request looks whether the version of its stream has become certain."""


class StreamVersions:
    """Records and finds the versions that began streams.

    Explanation
    ===========

    A stream that begins at a server has the version of the server's entry, unless another process may serve under
    its name; `process.gateway.stream_origins` tells. The holders of its record are told if it is uncertain, and
    whoever takes it up waits until its version has been found, for at most `MAX_UNCERTAIN_MS`.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    measure_list_age_ms : returns how long ago the list of servers was known to be complete.
    clock : the time source.
    evidence : what shows that a server was replaced by another process of its name.

    Attributes
    ==========

    history : the versions that were registered lately.
    load_stored : returns the versions of a service that the object service states; None if they are unknown.
    is_stated : returns whether the object service is known to state a version of a service.
    list_before : returns the versions of a service that may have begun streams before this gateway started;
        None if they are unknown.
    on_recorded : called with the record of a stream whose service has several versions.
    find_stored : returns the version that the object service has for a stream, or None.
    origins : number of streams taken up again, by how their version was found.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        measure_list_age_ms: Callable[[], float],
        clock: Clock,
        evidence: ServerEvidence | None = None,
    ) -> None:
        self.history = VersionHistory(clock)
        self.load_stored: Callable[[str], frozenset[str] | None] = lambda service: None
        self.is_stated: Callable[[str, str], bool] = lambda service, version: True
        self.list_before: Callable[[str], frozenset[str] | None] = lambda service: None
        self.on_recorded: Callable[[StreamRecord], None] = lambda record: None
        self.find_stored: Callable[[StreamKey], str | None] = lambda key: None
        self.origins: Counter[str] = Counter()
        self._network = network
        self._fleet = fleet
        self._measure_list_age_ms = measure_list_age_ms
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._records = StreamRecords(clock)
        self._unsent = StreamRecords(clock)  # of streams begun here, not sent to the holders yet
        self._peer_processes: set[tuple[str, int]] = set()  # name and incarnation
        self._has_lost_peer = False
        self._stream_origins = StreamOrigins(
            evidence or ServerEvidence(),
            lambda: clock.now_ms() - measure_list_age_ms(),
            self._record_resolved,
            self._record_uncertain,
            clock,
        )
        self._uncertain_until_ms: dict[bytes, float] = {}  # by digest, of streams begun elsewhere
        network.handle(StreamsBegun, self._apply_begun, runs_inline=True)
        network.handle(StreamsUncertain, self._apply_uncertain, runs_inline=True)
        network.handle(StreamQuery, self._reply_to, runs_inline=True)

    def record_listed(self, server: BackendServer) -> None:
        """Record a registered server, and send the records of its service's streams if its version is new."""
        self._stream_origins.resolve_at(server.name)
        if self.history.record_listed(server):
            self._send(self._unsent.pop_live(server.serves))

    def record_restarting(self, name: str) -> None:
        """Record that the entry of a server is about to be replaced by that of its next process."""
        self._stream_origins.resolve_at(name)

    def hand_over(self) -> None:
        """Send all records that were not sent yet, because this gateway is shutting down."""
        self._send(self._unsent.pop_live())

    def record_begun(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        process: ProcessSpan = UNINTERRUPTED,
    ) -> None:
        """Record a stream whose first event is about to be relayed.

        Parameters
        ==========

        server : the registered server to which the request was sent.
        process : what is known of the process that began the stream.
        """
        if not self._stream_origins.is_certain(server, process):
            key, now_ms = build_key(admitted), self._clock.now_ms()
            self.history.record_life(key.service, find_life_ms(admitted))
            expires_ms = now_ms + self._find_span_ms(admitted)
            stream = UncertainStream(key, server, process, now_ms, expires_ms)
            if not self._stream_origins.add(stream):
                return
        self.record_continued(admitted, server.version)

    def may_continue_at(self, server: BackendServer, process: ProcessSpan) -> bool:
        """Return whether a process has the version of a server's entry, as far as it can be told."""
        return self._stream_origins.may_continue_at(server, process)

    def record_continued(self, admitted: AdmittedRequest, version: str) -> None:
        """Record the version of a stream whose next event is about to be relayed."""
        key = build_key(admitted)
        self.history.record_life(key.service, find_life_ms(admitted))
        expires_ms = self._clock.now_ms() + self._find_span_ms(admitted)
        self._put(StreamRecord(key, version, expires_ms), find_life_ms(admitted))

    def _record_resolved(self, stream: UncertainStream, version: str) -> None:
        """Record the version of a stream, unless it is known already."""
        if self._records.find_version(stream.key) == version:
            return
        record = StreamRecord(stream.key, version, stream.expires_ms)
        self._put(record, stream.expires_ms - self._clock.now_ms())
        fields = encode_record(record, self._clock.now_ms())
        self._network.send_all(self._list_holders(stream.key), StreamsBegun([fields]))

    def _record_uncertain(self, stream: UncertainStream) -> None:
        """Withdraw the record of a stream, here and at its holders."""
        self._records.remove(stream.key.digest)
        self._unsent.remove(stream.key.digest)
        holders = self._list_holders(stream.key)
        self._network.send_all(holders, StreamsUncertain([stream.key.digest]))

    def _put(self, record: StreamRecord, life_ms: float) -> None:
        self._records.put(record)
        if self._has_several(record.key.service, life_ms):
            self._send([record])
        else:
            self._unsent.put(record)

    def confirm(self, admitted: AdmittedRequest, version: str) -> str:
        """Return the version of a stream that has begun in the answer to a request, once it is certain.

        Parameters
        ==========

        version : that of the entry of the server at which it began.

        Raises
        ======

        RequestError : it is not known, as another process may have served under the name of that server.
        """
        key = build_key(admitted)
        self._await_origin(key)
        found = self._records.find_version(key)
        return version if found is None else found

    def find(self, admitted: AdmittedRequest) -> str:
        """Return the version that began the stream that a request continues.

        Raises
        ======

        RequestError : it is not known, and servers of several versions may have begun it.
        """
        key, life_ms = build_key(admitted), self._find_span_ms(admitted)
        self._await_origin(key)
        version = self._records.find_version(key)
        if version is not None:
            return self._count("own", version)
        own = self.history.describe(key.service, life_ms, self._measure_list_age_ms())
        is_recent = own.list_age_ms <= MAX_UNCONFIRMED_LIST_AGE_MS
        # In a larger fleet the holders alone know of a stream that is uncertain.
        is_small = not self._fleet.reports_by_zone
        if len(own.versions) == 1 and is_recent and own.watched_ms >= life_ms and is_small:
            return self._count("single", *own.versions)
        return self._find_elsewhere(admitted, key, own)

    def select_stated(
        self, admitted: AdmittedRequest, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers at which a new stream may begin.

        While the object service does not state a version, a stream that began there would have an unknown
        version once all gateways have ended. The holder of the duties of a larger fleet states versions alone,
        so its gateways do not wait for that.
        """
        service = admitted.service
        if not admitted.route.is_resumable or self._fleet.reports_by_zone:
            return servers
        if self.history.count_registered(service) < 2:
            return servers
        return [one for one in servers if self.is_stated(service, one.version)] or servers

    def watch(self) -> None:
        """Record whether the list of servers is recent; to be called several times a second."""
        self.history.record_list_age(self._measure_list_age_ms())
        self._stream_origins.resolve()

    def sweep(self) -> None:
        """Remove the expired records, and record the gateways that have ended."""
        self._record_peers()
        self._records.remove_expired()
        self._unsent.remove_expired()
        now_ms = self._clock.now_ms()
        self._uncertain_until_ms = {
            digest: until_ms
            for digest, until_ms in self._uncertain_until_ms.items()
            if until_ms > now_ms
        }

    def describe(self) -> dict[str, Any]:
        """Return the registered versions of each service and the number of records of each, for the status page."""
        counts = self._records.count_by_version()
        return {
            service: {version: counts.get(service, {}).get(version, 0) for version in versions}
            for service, versions in self.history.list_registered().items()
        }

    def _await_origin(self, key: StreamKey) -> None:
        """Wait until the version of a stream is certain, if it is known to be uncertain.

        Raises
        ======

        RequestError : it has not become certain soon enough.
        """
        until_ms = self._clock.now_ms() + MAX_UNCERTAIN_MS
        while self._stream_origins.is_uncertain(key):
            if self._clock.now_ms() >= until_ms:
                self.origins["unknown"] += 1
                raise _build_unknown_error(key)
            self._clock.sleep_ms(UNCERTAIN_POLL_MS)
        while self._is_uncertain_elsewhere(key):
            self._clock.sleep_ms(UNCERTAIN_POLL_MS)

    def _is_uncertain_elsewhere(self, key: StreamKey) -> bool:
        """Return whether the gateway at which a stream began may still send its version."""
        until_ms = self._uncertain_until_ms.get(key.digest, -math.inf)
        return until_ms > self._clock.now_ms()

    def _find_elsewhere(
        self, admitted: AdmittedRequest, key: StreamKey, own: VersionEvidence
    ) -> str:
        """Ask other gateways for the version that began a stream."""
        asked = self._list_asked(key)
        replies = self._ask_until_certain(key, asked, self._find_span_ms(admitted))
        known = {reply.version for reply in replies.values() if reply.version is not None}
        if UNCERTAIN in known:
            self.origins["unknown"] += 1
            raise _build_unknown_error(key, admitted.facts.resumes_shown)
        if len(known) == 1:
            (version,) = known
            known_by = [name for name, reply in replies.items() if reply.version is not None]
            self._log_found(admitted, version, known_by)
            return self._count("peer", version)
        evidence = [own, *map(_read_evidence, replies.values())]
        versions = self._collect_versions(
            admitted, evidence, is_complete=self._is_complete(asked, replies)
        )
        if len(versions) == 1 and not known:
            return self._count("single", *versions)
        stored = self.find_stored(key) if not known else None
        if stored is not None:
            self._log_found(admitted, stored, [])
            return self._count("stored", stored)
        earlier = self._find_earlier(admitted, asked, replies)
        if not known and len(earlier) == 1:
            (version,) = earlier
            self._log_found(admitted, version, [])
            return self._count("earlier", version)
        self.origins["unknown"] += 1
        self._log_unknown(admitted, versions, asked, replies, own)
        raise _build_unknown_error(key, admitted.facts.resumes_shown)

    def _collect_versions(
        self, admitted: AdmittedRequest, evidence: list[VersionEvidence], *, is_complete: bool
    ) -> frozenset[str]:
        """Return the versions that may have begun a stream; none if those of its whole life are unknown.

        If no list is recent, none of the gateways that replied can list a new server; one that did not reply may.

        Parameters
        ==========

        evidence : that of this gateway, and of those that replied.
        is_complete : whether all gateways that were asked have replied.
        """
        life_ms = self._find_span_ms(admitted)
        has_reply = len(evidence) > 1
        max_age_ms = MAX_LIST_AGE_MS if has_reply else MAX_UNCONFIRMED_LIST_AGE_MS
        recent = [one for one in evidence if one.list_age_ms <= max_age_ms]
        if not recent and not is_complete:
            return frozenset()
        versions = frozenset[str]().union(*(one.versions for one in evidence))
        watched = evidence if is_complete else recent
        if max(one.watched_ms for one in watched) >= life_ms:
            return versions
        stated = self.load_stored(admitted.service)
        return frozenset() if stated is None else versions | stated

    def _find_earlier(
        self, admitted: AdmittedRequest, asked: list[Peer], replies: dict[str, StreamReply]
    ) -> frozenset[str]:
        """Return the versions that may have begun a stream of which no running gateway has a record.

        The result is empty if that cannot be told.
        """
        if not self._is_complete(asked, replies):
            return frozenset()
        own = self._describe_earlier(admitted.service, self._find_span_ms(admitted))
        known = [reply.earlier for reply in replies.values()] + [own]
        return next((frozenset(one) for one in known if one is not None), frozenset())

    def _describe_earlier(self, service: str, span_ms: float) -> list[str] | None:
        """Return the versions that may have begun streams before this gateway started, if those alone matter.

        The gateways of a small fleet send one another the records of a service with several versions. If none
        has ended since this one started, a stream without a record therefore began before. The result is None
        otherwise, and once such a stream can no longer be taken up.
        """
        if self._fleet.reports_by_zone or self._clock.now_ms() - self._started_ms > span_ms:
            return None
        self._record_peers()
        if self._has_lost_peer or self._records.has_dropped:
            return None
        before = self.list_before(service)
        return None if before is None else sorted(before)

    def _record_peers(self) -> None:
        """Record whether a gateway of a small fleet that was received from has ended."""
        if self._fleet.reports_by_zone:
            return
        running = {
            (peer.name, peer.report.incarnation)
            for peer in self._fleet.list_running(None)
            if peer.report is not None
        }
        if self._peer_processes - running:
            self._has_lost_peer = True
        self._peer_processes |= running

    def _find_span_ms(self, admitted: AdmittedRequest) -> float:
        """Return the time in which a stream may have begun that can still be taken up.

        The time limit of its route may have been longer when it began.
        """
        return max(find_life_ms(admitted), self.history.find_life_ms(admitted.service))

    def _has_several(self, service: str, span_ms: float) -> bool:
        """Return whether servers of several versions of a service were registered lately."""
        lately_ms = max(span_ms, self.history.find_life_ms(service)) + RECORDING_MARGIN_MS
        return len(self.history.list_versions(service, lately_ms)) > 1

    @staticmethod
    def _log_found(admitted: AdmittedRequest, version: str, known_by: list[str]) -> None:
        log_event(
            Event.STREAM_VERSION_RECEIVED,
            request_id=admitted.facts.request_id,
            resumes=admitted.facts.resumes_shown,
            service=admitted.service,
            version=version,
            known_by=known_by,
        )

    @staticmethod
    def _log_unknown(
        admitted: AdmittedRequest,
        versions: frozenset[str],
        asked: list[Peer],
        replies: dict[str, StreamReply],
        own: VersionEvidence,
    ) -> None:
        log_event(
            Event.STREAM_VERSION_UNKNOWN,
            "warning",
            request_id=admitted.facts.request_id,
            resumes=admitted.facts.resumes_shown,
            service=admitted.service,
            versions=sorted(versions),
            asked=[peer.name for peer in asked],
            replied=list(replies),
            watched_ms=round(own.watched_ms),
            list_age_ms=round(own.list_age_ms),
        )

    def _is_complete(self, asked: list[Peer], replies: dict[str, StreamReply]) -> bool:
        """Return whether all gateways that were asked have replied, or there is no other one."""
        if not asked:
            return self._fleet.is_listed and not self._fleet.list_peers()
        return len(replies) == len(asked)

    def _count(self, origin: str, version: str) -> str:
        self.origins[origin] += 1
        return version

    def _list_asked(self, key: StreamKey) -> list[Peer]:
        """Return the gateways to ask for a record."""
        if not self._fleet.reports_by_zone:
            return self._fleet.list_running(None)
        return self._choose_peers(key, ASKED)

    def _choose_peers(self, key: StreamKey, count: int) -> list[Peer]:
        """Return the running gateways that follow a stream's key on the circle."""
        ring = self._fleet.get_holder_ring()
        return choose_holders(ring, self._fleet.find_running, key.digest, count)

    def _send(self, records: list[StreamRecord]) -> None:
        """Send records to the gateways that hold them, and have them stored."""
        now_ms = self._clock.now_ms()
        for record in records:
            self.on_recorded(record)
        if not self._fleet.reports_by_zone:
            addresses = [peer.address for peer in self._fleet.list_running(None)]
            for first in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
                part = records[first : first + MAX_RECORDS_PER_MESSAGE]
                fields = [encode_record(record, now_ms) for record in part]
                self._network.send_all(addresses, StreamsBegun(fields))
            return
        for record in records:
            holders = self._list_holders(record.key)
            self._network.send_all(holders, StreamsBegun([encode_record(record, now_ms)]))

    def _list_holders(self, key: StreamKey) -> list[str]:
        """Return the addresses of the gateways that hold the record of a stream."""
        if not self._fleet.reports_by_zone:
            return [peer.address for peer in self._fleet.list_running(None)]
        return [peer.address for peer in self._choose_peers(key, HOLDERS)]

    def _apply_begun(self, _address: str, message: StreamsBegun) -> None:
        now_ms = self._clock.now_ms()
        for fields in message.records:
            record = decode_record(fields, now_ms)
            self._uncertain_until_ms.pop(record.key.digest, None)
            self._records.put(record)
            # In a larger fleet the gateway that began the stream has it stored.
            if not self._fleet.reports_by_zone and self._has_several(
                record.key.service, record.expires_ms - now_ms
            ):
                self.on_recorded(record)

    def _apply_uncertain(self, _address: str, message: StreamsUncertain) -> None:
        until_ms = self._clock.now_ms() + MAX_UNCERTAIN_MS + UNCERTAIN_POLL_MS
        for digest in message.digests:
            self._uncertain_until_ms[digest] = until_ms
            self._records.remove(digest)

    def _ask_until_certain(
        self, key: StreamKey, peers: list[Peer], span_ms: float
    ) -> dict[str, StreamReply]:
        """Ask gateways until none replies that the version may become certain, or for `MAX_UNCERTAIN_MS`."""
        until_ms = self._clock.now_ms() + MAX_UNCERTAIN_MS
        while True:
            replies = self._ask(key, peers, span_ms)
            versions = {reply.version for reply in replies.values()}
            if versions - {None, UNCERTAIN}:
                return {name: one for name, one in replies.items() if one.version != UNCERTAIN}
            if UNCERTAIN not in versions or self._clock.now_ms() >= until_ms:
                return replies
            self._clock.sleep_ms(UNCERTAIN_POLL_MS)

    def _ask(self, key: StreamKey, peers: list[Peer], span_ms: float) -> dict[str, StreamReply]:
        """Ask gateways at the same time; return the replies by their names, up to the first with a version."""
        query = StreamQuery(key.digest, key.account, key.service, span_ms)
        tasks = {gevent.spawn(self._ask_one, peer, query): peer.name for peer in peers}
        replies: dict[str, StreamReply] = {}
        with gevent.iwait(tasks, timeout=ASK_TIMEOUT_MS / MS_PER_SECOND) as ended:
            for task in ended:
                if task.value is None:
                    continue
                replies[tasks[task]] = task.value
                if task.value.version not in (None, UNCERTAIN):
                    break
        return replies

    def _ask_one(self, peer: Peer, query: StreamQuery) -> StreamReply | None:
        try:
            return self._network.request(peer.address, query, QUERY_TIMEOUT_MS)
        except PeerError as error:
            log_event(
                Event.STREAM_QUERY_UNANSWERED, "warning", gateway=peer.name, detail=error.detail
            )
            return None

    def _reply_to(self, _address: str, query: StreamQuery) -> StreamReply:
        key = StreamKey(query.digest, query.account, query.service)
        seen = self.history.describe(query.service, query.span_ms, self._measure_list_age_ms())
        version = self._records.find_version(key)
        if self._stream_origins.is_uncertain(key) or self._is_uncertain_elsewhere(key):
            version = UNCERTAIN
        return StreamReply(
            version,
            sorted(seen.versions),
            seen.watched_ms,
            seen.list_age_ms,
            self._describe_earlier(query.service, query.span_ms),
        )


def build_key(admitted: AdmittedRequest) -> StreamKey:
    """Return the key of the stream that a request begins or continues."""
    account = admitted.account.name if admitted.account is not None else ""
    attempt = admitted.facts.resumes or admitted.facts.request_id
    return StreamKey.build(account, admitted.service, attempt)


def _build_unknown_error(key: StreamKey, resumes_shown: str = "") -> RequestError:
    shown = f' "{resumes_shown}"' if resumes_shown else ""
    return RequestError(
        ErrorKind.STREAM_VERSION_UNKNOWN,
        f"it is unknown which version of service {key.service} began the stream{shown}",
    )


def find_life_ms(admitted: AdmittedRequest) -> float:
    """Return for how long a caller may take up a stream of a request's route."""
    return LIFE_FACTOR * admitted.route.timeout_ms


def _read_evidence(reply: StreamReply) -> VersionEvidence:
    return VersionEvidence(frozenset(reply.versions), reply.watched_ms, reply.list_age_ms)
