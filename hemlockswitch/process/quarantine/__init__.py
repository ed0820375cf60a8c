"""Quarantine of requests that crash backend servers, shared by all daemons: see `request.quarantine`.

`guard` is consulted before each send; `held_requests` stores quarantined contents in the object service.
"""
