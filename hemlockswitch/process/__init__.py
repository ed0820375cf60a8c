"""What lives as long as the process: membership, news, limits, leases, control, metrics.

Explanation
===========

The modules by subject. Start at ``entry`` (the daemon that serves callers) or ``controller``
(the daemon that starts and stops copies): each wires its parts together.

The two daemons
    ``entry``, ``serving``, ``facts``, ``freshness``, ``departure``; ``controller``.
Members and the peer network
    ``membership``, ``members``, ``probes``, ``overlay``, ``discovery``.
News, spread between daemons
    ``news``, ``news_messages``, ``spread``, ``digests``, ``retrieval``.
Backend servers: which there are, and how loaded
    ``backends``, ``circuits``, ``subsets``, ``dispatches``, ``loads``, ``load_polls``,
    ``watchers``, ``vm_feed``, ``zones``.
Configuration
    ``configuration``, ``applying``, ``revision_messages``, ``revision_spread``,
    ``revision_store``, ``revision_tasks``.
Limits of client accounts, shared between daemons
    ``shares``, ``share_anchor``, ``share_book``, ``share_borrower``, ``share_end``,
    ``share_lender``, ``share_members``, ``share_messages``, ``share_parts``, ``share_record``,
    ``share_renewal``, ``share_terms``, ``share_units``.
Claims: one dispatch for each idempotency key
    ``claim_store``, ``claim_ledger``, ``claim_members``, ``claim_objects``, ``claim_outbox``,
    ``claim_routes``, ``claim_writer``.
Handover of generations in progress
    ``handover``, ``handover_messages``, ``resuming``, ``state_store``.
Lease and licensed copies, in the controller
    ``lease``, ``control``, ``targets``, ``copies``, ``copy_changes``, ``copy_records``,
    ``cost``, ``demand``, ``observed_zone``, ``reclaims``, ``usage``, ``zone_load``.
Metrics and traces
    ``metrics``, ``peer_metrics``, ``traces``, ``records``, ``reports``.
What an operator sees
    ``fleet_events``, ``fleet_view``, ``zone_status``, ``zone_view``.
"""
