"""Records of the software versions that began the streams which their callers may take up again.

A record belongs to a client account. If there are too many, the account with the most records loses its oldest.
"""

from collections import Counter, OrderedDict, defaultdict
from dataclasses import dataclass
from hashlib import blake2b

from hemlockswitch.core.clock import Clock

KEY_BYTES = 16
MAX_RECORDS = 50_000


@dataclass(frozen=True)
class StreamKey:
    """Identifies a stream.

    Parameters
    ==========

    digest : of the account, the service and the caller's identifier of the attempt that began the stream, so
        that it has a fixed length and no account reaches a stream of another one.
    account, service : names.

    Examples
    ========

    >>> StreamKey.build("hall", "llm", "id-1") == StreamKey.build("hall", "llm", "id-1")
    True
    >>> StreamKey.build("hall", "llm", "id-1").digest == StreamKey.build("other", "llm", "id-1").digest
    False
    """

    digest: bytes
    account: str
    service: str

    @classmethod
    def build(cls, account: str, service: str, attempt: str) -> "StreamKey":
        """Return the key of the stream that an attempt began."""
        text = f"{account}\0{service}\0{attempt}".encode()
        return cls(blake2b(text, digest_size=KEY_BYTES).digest(), account, service)


@dataclass(frozen=True)
class StreamRecord:
    """The version that began a stream, and until when the caller may take the stream up."""

    key: StreamKey
    version: str
    expires_ms: float


class StreamRecords:
    """A bounded set of records.

    Parameters
    ==========

    clock : the time source.
    max_records : limit on the number of records.
    """

    def __init__(self, clock: Clock, max_records: int = MAX_RECORDS) -> None:
        self._clock = clock
        self._max_records = max_records
        self.has_dropped = False  # whether a record was removed before its end
        self._count = 0
        self._by_account: defaultdict[str, OrderedDict[bytes, StreamRecord]] = defaultdict(
            OrderedDict
        )

    def __len__(self) -> int:
        return self._count

    def put(self, record: StreamRecord) -> None:
        """Add a record, or replace that of the same stream."""
        records = self._by_account[record.key.account]
        self._count += record.key.digest not in records
        records[record.key.digest] = record
        records.move_to_end(record.key.digest)
        if self._count > self._max_records:
            self.remove_expired()
        while self._count > self._max_records:
            self._remove_oldest(max(self._by_account, key=lambda one: len(self._by_account[one])))

    def remove(self, digest: bytes) -> None:
        """Remove the record of a stream, if there is one."""
        for account, records in list(self._by_account.items()):
            if records.pop(digest, None) is not None:
                self._count -= 1
            if not records:
                del self._by_account[account]

    def find_version(self, key: StreamKey) -> str | None:
        """Return the version that began a stream, or None if it is not known."""
        if key.account not in self._by_account:
            return None
        record = self._by_account[key.account].get(key.digest)
        if record is None or record.expires_ms <= self._clock.now_ms():
            return None
        return record.version

    def pop_live(self, service: str | None = None) -> list[StreamRecord]:
        """Remove and return the records of a service, or of all, that have not expired."""
        now_ms = self._clock.now_ms()
        live = [
            record
            for records in self._by_account.values()
            for record in records.values()
            if service in (None, record.key.service) and record.expires_ms > now_ms
        ]
        for record in live:
            del self._by_account[record.key.account][record.key.digest]
        self._count -= len(live)
        return live

    def remove_expired(self) -> None:
        """Remove the expired records."""
        now_ms = self._clock.now_ms()
        for account, records in list(self._by_account.items()):
            for digest in [one for one, record in records.items() if record.expires_ms <= now_ms]:
                del records[digest]
                self._count -= 1
            if not records:
                del self._by_account[account]

    def count_by_version(self) -> dict[str, dict[str, int]]:
        """Return the number of records by service and version."""
        counts: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for records in self._by_account.values():
            for record in records.values():
                counts[record.key.service][record.version] += 1
        return {service: dict(versions) for service, versions in counts.items()}

    def _remove_oldest(self, account: str) -> None:
        self.has_dropped = True
        self._by_account[account].popitem(last=False)
        self._count -= 1
        if not self._by_account[account]:
            del self._by_account[account]
