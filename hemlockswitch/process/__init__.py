"""The long-lived parts of the daemons: membership, gossip, limits, leases, control, metrics.

Explanation
===========

There is a package for each subject; its ``__init__`` names the main classes. Good starting points
are ``gateway`` (the daemon on the users' platform), ``entry`` (the daemon that serves callers of
the project's own interface) and ``controller`` (the daemon that starts and stops copies): each
builds and connects its parts.

The daemons
    ``gateway``; ``entry`` with ``serving``, ``cluster_state``, ``freshness`` and ``departure``;
    ``controller``.
Subjects
    ``membership``, ``gossip``, ``servers``, ``revisions``, ``shares``, ``claims``, ``handover``,
    ``copies``, ``status``; ``lease``, used by both controllers and gateways.
Metrics and traces
    ``metrics``, ``peer_metrics``, ``traces``, ``records``, ``reports``.
"""
