"""Mailboxes: the only way in which tasks of a process hand data to one another."""

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Unbounded queue with one reader, who takes all that waits at once."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: asyncio.Queue[T] = asyncio.Queue()

    def post(self, message: T) -> None:
        """Adds a message; never waits."""
        self._queue.put_nowait(message)

    def is_empty(self) -> bool:
        """Tells whether no message waits."""
        return self._queue.empty()

    async def get_batch(self, max_messages: int = 1000) -> list[T]:
        """Waits for a message, then returns it with all others that are there."""
        messages = [await self._queue.get()]
        while len(messages) < max_messages and not self._queue.empty():
            messages.append(self._queue.get_nowait())
        return messages
