"""Backend servers: their discovery, their load, and the subset that a daemon uses.

`BackendDirectory` is the interface to the state; `watchers` and `vm_feed` supply it from the platform.
"""
