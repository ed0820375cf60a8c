"""Adapter to the users' platform; it translates formats and makes no decisions.

Only this package uses the platform's names. `Headers` translates the messages of callers and
backend servers, `ObjectStore` and `CloudApi` are clients of the platform's services, and
`decode_manifest`, `decode_server` and `decode_rollout` decode objects of the object store.
"""
