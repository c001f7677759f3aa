"""Partitions of the job key space, their owners and their epochs."""
