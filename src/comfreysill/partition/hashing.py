"""Assignment of job keys to partitions and of partitions to entries."""

import functools
from collections.abc import Iterable

import xxhash

from comfreysill.job.types import JobKey

# Has to be the same at all entries, since each computes the assignment by itself.
PARTITION_COUNT = 64


def find_partition(key: JobKey) -> int:
    """Returns the partition of a job, from 0 to `PARTITION_COUNT` - 1."""
    return xxhash.xxh3_64_intdigest(f"{key.team}/{key.job_id}".encode()) % PARTITION_COUNT


def choose_owner(partition: int, entries: Iterable[str]) -> str | None:
    """Returns the entry to which a partition is assigned, by rendezvous hashing.

    Args:
        partition: Number of the partition, from 0 to `PARTITION_COUNT` - 1.
        entries: Names of the entries that are considered alive.

    Returns:
        The name with the highest hash, or None if there are no entries.
    """
    return max(entries, key=lambda name: _compute_sort_key(partition, name), default=None)


# The cache holds the keys of 256 entries.
@functools.lru_cache(maxsize=PARTITION_COUNT * 256)
def _compute_sort_key(partition: int, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{partition}|{name}".encode()), name
