"""What an operator sees of the fleet.

`fleet_view` and `zone_view` join what daemons say; `zone_status` writes it down.
"""
