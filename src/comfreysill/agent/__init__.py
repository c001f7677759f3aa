"""The process beside a target: it guards the ledger and calls the runner."""
