"""Claims of idempotency keys: one dispatch for each key in the whole system.

`ClaimStore` makes and answers claims; `members` wires the parts of a daemon.
"""
