"""Targets: the agent's ledger of tasks, an entry's view of a target, and their messages."""
