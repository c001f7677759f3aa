"""Targets: the agent's ledger of tasks, and an entry's view of a target."""
