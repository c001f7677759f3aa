"""The aggregate of an agent: the runs on its runner, their room, leases and fencing token."""
