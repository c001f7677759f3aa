"""Assignment of keys to partitions and of partitions to entries."""

import functools
from collections.abc import Iterable

import xxhash

from comfreysill.job.types import JobKey

PARTITION_COUNT = 64


def find_partition(key: JobKey) -> int:
    """Returns the partition of a job, from 0 to `PARTITION_COUNT` - 1."""
    return xxhash.xxh3_64_intdigest(f"{key.team}/{key.job_id}".encode()) % PARTITION_COUNT


def choose_owner(partition: int, entries: Iterable[str]) -> str | None:
    """Returns the entry that should own a partition, by rendezvous hashing.

    Args:
        partition: Number of the partition.
        entries: Names of the entries that are considered alive.

    Returns:
        The name with the highest weight, or None without entries.
    """
    return max(entries, key=lambda name: _compute_weight(partition, name), default=None)


@functools.lru_cache(maxsize=PARTITION_COUNT * 256)
def _compute_weight(partition: int, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{partition}|{name}".encode()), name
