"""The configuration: applied atomically as a revision and disseminated to every daemon.

`Configuration` stores the revision in force; `Applier` applies a file.
"""
