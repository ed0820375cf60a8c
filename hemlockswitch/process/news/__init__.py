"""News between daemons: facts that spread from one to the next and are repaired.

`NewsBoard` holds them, `Spread` passes them on.
"""
