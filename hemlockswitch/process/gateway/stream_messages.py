"""The messages between gateways about the versions that began streams."""

from dataclasses import dataclass

from hemlockswitch.connection.messages import register_message

RecordFields = tuple[bytes, str, str, str, float]
"""A stream's digest, account, service and version, and for how long in ms its caller may take it up."""


@register_message("streams_begun")
@dataclass(frozen=True)
class StreamsBegun:
    """Streams that a gateway began or continued, for the gateways that hold their records."""

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

    version : the version that began the stream; None if it is not known here.
    versions, watched_ms, list_age_ms : see `process.gateway.version_history.VersionEvidence`.
    """

    version: str | None
    versions: list[str]
    watched_ms: float
    list_age_ms: float
