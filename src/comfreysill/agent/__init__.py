"""The agent process, which runs beside a target, owns its ledger and calls its runner."""
