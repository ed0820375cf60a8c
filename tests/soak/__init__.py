"""A randomized soak of gateways as real processes: `python -m tests.soak.run --help`."""
