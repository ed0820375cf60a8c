"""What lives for one request: admission, routing, relay, continuation, claims."""
