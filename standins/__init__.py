"""Stand-ins for the platform, runners and callers, with tools for measurements on one machine."""
