"""The aggregate of an entry: queued requests, links to agents, and placement of tasks."""
