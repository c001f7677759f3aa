"""Targets of the job API: the agent's ledger of tasks, an owner entry's view, their messages."""
