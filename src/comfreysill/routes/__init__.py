"""The routing aggregate of the platform: maps hosts and path prefixes to services."""
