"""Fencing tokens, by which agents refuse starts from former owners of a partition."""

import functools


@functools.total_ordering
class Epoch:
    """Fencing token of one owner of a partition.

    Attributes:
        number: Incremented at each takeover of the partition, 0 only in `NO_EPOCH`.
        owner: Name of the owner entry, unique to one run of its process; orders epochs of equal
            number.
    """

    __slots__ = ("number", "owner")

    def __init__(self, *, number: int, owner: str) -> None:
        self.number = number
        self.owner = owner

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Epoch):
            return NotImplemented
        return self.number == other.number and self.owner == other.owner

    def __lt__(self, other: "Epoch") -> bool:
        if self.number != other.number:
            return self.number < other.number
        return self.owner < other.owner

    def __hash__(self) -> int:
        return hash((self.number, self.owner))

    def __repr__(self) -> str:
        return f"{self.number}:{self.owner}"


NO_EPOCH = Epoch(number=0, owner="")
