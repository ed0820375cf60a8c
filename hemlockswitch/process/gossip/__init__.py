"""Gossip between daemons: versioned items that are pushed to peers and repaired by digests.

`GossipState` stores the items; `Gossip` disseminates them.
"""
