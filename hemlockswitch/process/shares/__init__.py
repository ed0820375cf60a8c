"""Limits of client accounts, divided into shares that daemons hold, lend, and return.

`shares` is the interface for requests; `factory` connects the components of a daemon.
"""
