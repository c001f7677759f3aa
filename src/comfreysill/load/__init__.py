"""Load generator: runs the workload of an experiment against a running deployment."""
