"""Handover of generations in progress from a daemon that leaves to another.

`Handover` gives them away, `resuming` takes them.
"""
