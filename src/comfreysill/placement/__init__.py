"""The aggregate of an entry on the platform: queued requests, links to agents, task placement."""
