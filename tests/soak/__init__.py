"""Randomized soak test of gateway processes; see `python -m tests.soak.run --help`."""
