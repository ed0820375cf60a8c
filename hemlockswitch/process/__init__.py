"""What lives as long as the process: membership, news, limits, leases, control, metrics.

Explanation
===========

A package for each subject; its ``__init__`` names what others use of it. Start at ``gateway``
(the daemon on the users' platform), ``entry`` (the daemon that serves callers of the project's own
interface) or ``controller`` (the daemon that starts and stops copies): each wires its parts
together.

The daemons
    ``gateway``; ``entry`` with ``serving``, ``facts``, ``freshness`` and ``departure``;
    ``controller``.
Subjects
    ``membership``, ``news``, ``servers``, ``revisions``, ``shares``, ``claims``, ``handover``,
    ``copies``, ``status``; ``lease``, which both controllers and gateways use.
Metrics and traces
    ``metrics``, ``peer_metrics``, ``traces``, ``records``, ``reports``.
"""
