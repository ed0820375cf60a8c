"""Small stand-ins for the external systems, used by tests, the demo and measurements."""
