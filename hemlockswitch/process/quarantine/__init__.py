"""Quarantine of requests that crash backend servers, shared by all daemons: see `request.quarantine`.

`guard` is consulted before each send; `quarantine_store` stores quarantined contents in the object
service.
"""
