"""Entries that were rejected by a reader: rows, reports and lists that can't be decoded.

The same entry comes back at each read. It is counted and logged once.
"""

import logging
from collections.abc import Hashable

logger = logging.getLogger(__name__)

# Entries that are remembered as logged; the oldest are forgotten first.
MAX_REMEMBERED = 1_000
MAX_WHY_CHARS = 300


class Rejections:
    """Rejected entries of a process.

    Attributes:
        total: Number of entries that were rejected, each counted once.
        remembered: Entries that were logged, oldest first.
    """

    __slots__ = ("total", "remembered")

    def __init__(self) -> None:
        self.total = 0
        self.remembered: dict[Hashable, None] = {}


class RejectedEntry:
    """An entry that can't be decoded.

    Attributes:
        name: Key of the row, empty if it can't be read.
        identity: Distinguishes this entry from later ones of the same name.
        why: The invalid field, and the bound.
    """

    __slots__ = ("name", "identity", "why")

    def __init__(self, *, name: str, identity: Hashable, why: str) -> None:
        self.name = name
        self.identity = identity
        self.why = why


def record_rejections(
    rejections: Rejections,
    source: str,
    entries: list[RejectedEntry],
    text: str = "entry rejected; the others hold",
) -> list[RejectedEntry]:
    """Counts and logs the entries of a source that were not rejected before; returns those.

    `text` is the text of the log line.
    """
    new = []
    for entry in entries:
        identity = (source, entry.name, entry.identity)
        if identity in rejections.remembered:
            continue
        if len(rejections.remembered) >= MAX_REMEMBERED:
            del rejections.remembered[next(iter(rejections.remembered))]
        rejections.remembered[identity] = None
        rejections.total += 1
        new.append(entry)
        fields = {"source": source, "name": entry.name, "why": entry.why[:MAX_WHY_CHARS]}
        logger.warning(text, extra={"fields": fields})
    return new
