"""The entry process on the platform: its asyncio tasks, its links to agents and its callers."""
