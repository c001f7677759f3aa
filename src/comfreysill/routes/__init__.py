"""The routing document aggregate: which caller's path leads to which service."""
