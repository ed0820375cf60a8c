"""The requests under which backend servers end, over all daemons: see `request.quarantine`.

`guard` is asked before each send; `held_requests` keeps in the object service what is held back.
"""
