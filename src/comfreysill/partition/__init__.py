"""Partitions of the job keys, their owners and their epochs."""
