"""The messages between gateways about the versions that began streams."""

from dataclasses import dataclass

from hemlockswitch.connection.messages import register_message
from hemlockswitch.request.stream_records import StreamKey, StreamRecord

MAX_RECORDS_PER_MESSAGE = 500
UNCERTAIN = "\0uncertain"
"""Stands for a version that is not certain yet; no server has it."""
RecordFields = tuple[bytes, str, str, str, float]
"""A stream's digest, account, service and version, and for how long in ms its caller may take it up."""


@register_message("streams_begun")
@dataclass(frozen=True)
class StreamsBegun:
    """Streams that a gateway began or continued, for the gateways that hold their records."""

    records: list[RecordFields]


@register_message("streams_uncertain")
@dataclass(frozen=True)
class StreamsUncertain:
    """Streams whose versions are not certain yet; `StreamsBegun` follows, unless the gateway ends before.

    Parameters
    ==========

    digests : of the streams' keys.
    """

    digests: list[bytes]


@register_message("streams_to_store")
@dataclass(frozen=True)
class StreamsToStore:
    """Streams of a gateway, for the one that writes the records of its zone to the object service."""

    records: list[RecordFields]


@register_message("stream_query")
@dataclass(frozen=True)
class StreamQuery:
    """The question which version began a stream.

    Parameters
    ==========

    digest, account, service : identify the stream.
    span_ms : the time in which it began.
    """

    digest: bytes
    account: str
    service: str
    span_ms: float


@register_message("stream_reply")
@dataclass(frozen=True)
class StreamReply:
    """The reply to a `StreamQuery`.

    Parameters
    ==========

    version : the version that began the stream; None if it is not known here, `UNCERTAIN` if it may be soon.
    versions, watched_ms, list_age_ms : see `process.gateway.version_history.VersionEvidence`.
    earlier : the versions that may have begun the stream if no running gateway has its record; None if unknown.
    """

    version: str | None
    versions: list[str]
    watched_ms: float
    list_age_ms: float
    earlier: list[str] | None = None


def encode_record(record: StreamRecord, now_ms: float) -> RecordFields:
    """Return a record as messages carry it."""
    key = record.key
    return key.digest, key.account, key.service, record.version, record.expires_ms - now_ms


def decode_record(fields: RecordFields, now_ms: float) -> StreamRecord:
    """Return the record that a message carries."""
    digest, account, service, version, left_ms = fields
    return StreamRecord(StreamKey(digest, account, service), version, now_ms + left_ms)
