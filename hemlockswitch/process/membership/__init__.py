"""Group membership: the daemons of the system, which discover and probe each other.

`Membership` stores the members; `overlay` chooses the members that a daemon probes, and
`discovery` finds addresses to join by.
"""
