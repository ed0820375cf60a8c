"""Small operator files for the scenarios."""

import hashlib
from collections.abc import Iterable
from typing import Any

MODEL = "assistant-llm"
SERVICE = "booking-app"
ZONES = ("abdoun-hall", "khalda-hall")
ACCOUNT = "front-desk"
KEY = "front-desk-key"


def hash_key(key: str) -> str:
    """Return the form of an account's key that operator files hold."""
    return f"sha256:{hashlib.sha256(key.encode()).hexdigest()}"


def make_account(name: str, key: str, **limits: float) -> dict[str, Any]:
    """Return a client account of an operator file; limits not given are wide."""
    wide = {"requests_per_second": 1_000, "tokens_per_second": 100_000, "concurrent_requests": 500}
    return {"name": name, "key_hash": hash_key(key), "limits": {**wide, **limits}}


def make_operator_file(zones: Iterable[str] = ZONES, **fields: Any) -> dict[str, Any]:
    """Return a small operator file: one model, one service, one account; `fields` replace."""
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
