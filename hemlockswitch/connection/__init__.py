"""Connections to callers, backend servers, the platform and peers, and their protocols."""
