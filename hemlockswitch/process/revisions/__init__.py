"""The configuration: applied as a whole, spread to every daemon, and in force.

`Configuration` holds the revision in force; `Applier` applies a file.
"""
