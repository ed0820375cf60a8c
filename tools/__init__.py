"""Programs for tests, the demo and measurements; not part of the product."""
