"""Measurements and runners around the product; nothing here is shipped."""
