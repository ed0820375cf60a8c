"""State of the platform stand-in, and helpers to begin and answer its calls."""

import json
from typing import Any

import falcon
from pydantic import BaseModel, ConfigDict, Field

from hemlockswitch.standin.platform_faults import CallCounts, RateLimit, ServiceFaults, wait_ms
from hemlockswitch.standin.platform_objects import MAX_VALUE_BYTES, ObjectStore, StoredValue
from hemlockswitch.standin.platform_vms import VmRegistry
from hemlockswitch.standin.server import SOCKET_KEY, cut_connection

SILENT_MODE_DELAY_MS = 120_000
MAX_WAIT_MS = 60_000


class PlatformSettings(BaseModel):
    """Settings of the platform stand-in.

    Parameters
    ==========

    writes_per_s, reads_per_s : rate limits of the object service; calls beyond them get 429.
    answer_ms : minimum duration of a call of the object service.
    vm_list_lag_ms : age of the VM list.
    start_ms : how long a started VM remains in state ``starting``.
    """

    model_config = ConfigDict(extra="forbid")

    name: str = "platform"
    listen: str = "127.0.0.1:0"
    log_level: str = "info"
    writes_per_s: float = Field(default=400, gt=0)
    reads_per_s: float = Field(default=2_000, gt=0)
    answer_ms: float = Field(default=0, ge=0)
    vm_list_lag_ms: float = Field(default=0, ge=0)
    start_ms: float = Field(default=200, ge=0)


class PlatformState:
    """State of the platform stand-in."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.objects = ObjectStore()
        self.vms = VmRegistry()
        self.object_faults = ServiceFaults()
        self.cloud_faults = ServiceFaults()
        self.vm_list_lag_ms = settings.vm_list_lag_ms
        self.counts = CallCounts()
        self.write_limit = RateLimit(settings.writes_per_s)
        self.read_limit = RateLimit(settings.reads_per_s)

    def begin_call(self, req: falcon.Request, call: str, faults: ServiceFaults) -> None:
        """Count a call and apply the faults of its service."""
        role = req.get_header("X-Role") or "none"
        daemon = req.get_header("X-Daemon") or "none"
        self.counts.count(role, daemon, call)
        if faults.mode == "silent":
            wait_ms(SILENT_MODE_DELAY_MS)
        if faults.mode in ("silent", "refused"):
            cut_connection(req.env[SOCKET_KEY])
        wait_ms(faults.delay_ms)
        if faults.mode == "down":
            raise falcon.HTTPServiceUnavailable(title="platform is down")

    def begin_object_call(self, req: falcon.Request, call: str) -> None:
        """Begin a call of the object service; answer 429 if it exceeds the rate limit."""
        self.begin_call(req, call, self.object_faults)
        wait_ms(self.settings.answer_ms)
        limit = self.write_limit if call in ("write", "delete") else self.read_limit
        if not limit.take():
            self.counts.over_rate += 1
            raise falcon.HTTPTooManyRequests(title="over the rate", retry_after=1)


def read_body(req: falcon.Request) -> bytes:
    """Return the body; a body over the maximum value size is refused before it is read."""
    if (req.content_length or 0) > MAX_VALUE_BYTES:
        raise falcon.HTTPContentTooLarge(title="over 1,048,576 bytes")
    return req.bounded_stream.read()


def read_json(req: falcon.Request) -> Any:
    """Return the decoded JSON body; an empty body counts as an empty object."""
    try:
        return json.loads(read_body(req) or b"{}")
    except ValueError as error:
        raise falcon.HTTPBadRequest(title="not JSON") from error


def get_expected_version(req: falcon.Request) -> int | None:
    """Return the version that a write requires; 0 if the object must not exist, None if any."""
    if req.get_header("If-None-Match") == "*":
        return 0
    match = req.get_header("If-Match")
    return None if match is None else int(match.strip('"'))


def answer_json(resp: falcon.Response, body: Any, status: int = 200) -> None:
    """Set the response to a JSON body."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = json.dumps(body).encode()


def answer_items(resp: falcon.Response, items: list[StoredValue], version: int) -> None:
    """Set the response to a list of stored objects and the version of the object service."""
    resp.content_type = "application/json"
    rendered = b", ".join(item.render() for item in items)
    resp.data = b'{"items": [' + rendered + b'], "version": ' + str(version).encode() + b"}"


def get_wait_ms(req: falcon.Request) -> float:
    """Return the wait that a long poll asks for, at most `MAX_WAIT_MS`."""
    return min(req.get_param_as_float("wait_ms", default=0.0), MAX_WAIT_MS)
