"""Mailboxes, through which the asyncio tasks of a process exchange messages."""

import asyncio
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Unbounded queue with one consumer, which receives queued messages in batches."""

    __slots__ = ("_queue",)

    def __init__(self) -> None:
        self._queue: asyncio.Queue[T] = asyncio.Queue()

    def post(self, message: T) -> None:
        """Adds a message without waiting."""
        self._queue.put_nowait(message)

    def is_empty(self) -> bool:
        """Returns whether no message is queued."""
        return self._queue.empty()

    async def get_batch(self, max_messages: int = 1000) -> list[T]:
        """Waits for a message, then returns it with the other queued ones, up to `max_messages`."""
        messages = [await self._queue.get()]
        while len(messages) < max_messages and not self._queue.empty():
            messages.append(self._queue.get_nowait())
        return messages
