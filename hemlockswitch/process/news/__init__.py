"""Gossip between daemons: versioned items that are pushed to peers and repaired by digests.

`NewsBoard` stores the items; `Spread` disseminates them.
"""
