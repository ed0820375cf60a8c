"""Processing of a single request: admission, routing, relay, continuation and claims."""
