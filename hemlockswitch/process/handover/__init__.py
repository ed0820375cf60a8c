"""Handover of generations in progress from a daemon that is leaving to another.

`Handover` sends generations to peers; `resuming` serves them to their callers.
"""
