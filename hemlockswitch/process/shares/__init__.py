"""Limits of client accounts as shares that daemons hold, lend and give back.

`shares` is what a request asks; `members` wires the parts of a daemon.
"""
