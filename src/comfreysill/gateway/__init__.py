"""The entry process on the platform: its asyncio tasks, its links to agents and its callers.

Its counterpart in the job API is `comfreysill.entry`.
"""
