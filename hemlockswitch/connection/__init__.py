"""What lives for a connection: callers, backend servers, the platform, peers."""
