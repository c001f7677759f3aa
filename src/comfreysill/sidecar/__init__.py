"""The agent process on the platform: its asyncio tasks, its links with entries, its runner.

Its counterpart in the job API is `comfreysill.agent`.
"""
