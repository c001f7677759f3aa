"""The agent aggregate: the runs on its runner, their capacity, leases and fencing token."""
