"""Claims of idempotency keys: at most one dispatch per key across all daemons.

`ClaimStore` places claims and replays outcomes; `members` builds it for an entry daemon.
"""
