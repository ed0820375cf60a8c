"""Which daemons there are, found and watched by one another.

`Membership` keeps the members; `overlay` and `discovery` say whom a daemon probes.
"""
