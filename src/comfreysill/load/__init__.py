"""Load and experiment tool: the users' workloads against a running floor."""
