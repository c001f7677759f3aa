"""Turns for work that would hold up the event loop if much of it were done at a time.

Those that want a turn get it in the order in which they asked, one in each pass of the event loop,
so that everything else of the process goes on in between.
"""

import asyncio
import math
from collections import deque


class Turns:
    """Turns of a process.

    Attributes:
        max_bytes: Maximum of what all that wait may hold, infinite if there is no limit.
        held_bytes: What they hold.
        waiting: Futures of those that wait, in order; cancelled ones are passed over.
        is_taken: Whether the turn of this pass is taken.
    """

    __slots__ = ("max_bytes", "held_bytes", "waiting", "is_taken")

    def __init__(self, *, max_bytes: float = math.inf) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.is_taken = False


async def take_turn(turns: Turns, size: int) -> bool:
    """Waits for a turn.

    Args:
        turns: Turns of the process.
        size: Number of bytes that are held meanwhile.

    Returns:
        False, at once, if those that wait hold too much already.
    """
    loop = asyncio.get_running_loop()
    if turns.is_taken:
        if turns.held_bytes + size > turns.max_bytes:
            return False
        turn: asyncio.Future[None] = loop.create_future()
        turns.waiting.append(turn)
        turns.held_bytes += size
        try:
            await turn
        finally:
            turns.held_bytes -= size
    turns.is_taken = True
    loop.call_soon(_pass_on, turns)
    return True


def _pass_on(turns: Turns) -> None:
    turns.is_taken = False
    while turns.waiting:
        turn = turns.waiting.popleft()
        if not turn.done():
            turns.is_taken = True
            turn.set_result(None)
            return
