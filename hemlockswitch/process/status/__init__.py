"""The state of the fleet for operators.

`zone_status` collects the reports of daemons and writes them to the platform; `fleet_view`,
`zone_view` and `fleet_events` present the platform's state.
"""
