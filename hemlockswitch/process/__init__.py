"""What lives as long as the process: membership, news, limits, leases, control, metrics."""
