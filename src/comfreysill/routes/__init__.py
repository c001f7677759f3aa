"""The routing document aggregate: maps hosts and path prefixes to services."""
