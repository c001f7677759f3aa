"""Partitions of the job keys: each has one owner entry, which an epoch fences from earlier ones."""
