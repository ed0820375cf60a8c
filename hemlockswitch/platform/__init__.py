"""The adapter to the users' platform: it translates, and decides nothing.

Only this package knows the platform's names. `Headers` speaks with callers and backend servers,
`ObjectStore` and `CloudApi` with the platform, `decode_manifest` and `decode_server` read what
lies in the object store.
"""
