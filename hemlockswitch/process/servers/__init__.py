"""Backend servers: which there are, how loaded they are, and which a daemon uses.

`BackendDirectory` answers for all of it; `watchers` and `vm_feed` bring the facts.
"""
