"""Minimal operator files for the scenarios."""

import hashlib
from collections.abc import Iterable
from typing import Any

MODEL = "assistant-llm"
SERVICE = "booking-app"
ZONES = ("abdoun-hall", "khalda-hall")
ACCOUNT = "front-desk"
KEY = "front-desk-key"


def hash_key(key: str) -> str:
    """Return the hash of an account's key, as written in operator files."""
    return f"sha256:{hashlib.sha256(key.encode()).hexdigest()}"


def make_account(name: str, key: str, **limits: float) -> dict[str, Any]:
    """Return a client account of an operator file; omitted limits are high."""
    wide = {"requests_per_second": 1_000, "tokens_per_second": 100_000, "concurrent_requests": 500}
    return {"name": name, "key_hash": hash_key(key), "limits": {**wide, **limits}}


def make_operator_file(zones: Iterable[str] = ZONES, **fields: Any) -> dict[str, Any]:
    """Return an operator file with one model, service and client account, updated with `fields`."""
    operations = [
        {"path": "/slots", "idempotent": True},
        {"path": "/confirmations", "idempotent": False},
    ]
    file = {
        "zones": list(zones),
        "client_accounts": [make_account(ACCOUNT, KEY)],
        "models": [{"name": MODEL, "licensed_copies": 8}],
        "services": [{"name": SERVICE, "operations": operations}],
    }
    return {**file, **fields}
