"""The agent process of the job API: runs beside a target, owns its ledger and calls its runner.

Its counterpart on the platform is `comfreysill.sidecar`.
"""
