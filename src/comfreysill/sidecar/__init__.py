"""The agent process on the platform: its tasks, its links to entries, its runner."""
