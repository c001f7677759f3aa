"""The entry process on the platform: its tasks, its links to agents and its callers."""
