"""The aggregate of an agent on the platform: its runs, their capacity, leases, fencing token."""
