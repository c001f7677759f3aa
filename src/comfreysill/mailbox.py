"""Mailboxes, through which the asyncio tasks of a process exchange messages."""

import asyncio
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Unbounded queue with one consumer, which receives queued messages in batches."""

    __slots__ = ("_messages", "_waiter")

    def __init__(self) -> None:
        self._messages: deque[T] = deque()
        # Set while the consumer waits for a message.
        self._waiter: asyncio.Future[None] | None = None

    def post(self, message: T) -> None:
        """Adds a message without waiting."""
        self._messages.append(message)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def is_empty(self) -> bool:
        """Returns whether no message is queued."""
        return not self._messages

    async def get_batch(self, max_messages: int = 1000) -> list[T]:
        """Waits for a message, then returns it with the other queued ones, up to `max_messages`."""
        while not self._messages:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if len(self._messages) <= max_messages:
            messages = list(self._messages)
            self._messages.clear()
            return messages
        return [self._messages.popleft() for _ in range(max_messages)]
