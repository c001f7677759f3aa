"""Turns for reading large messages, or those of many parts, beside ordinary requests.

A connection that brings such a message isn't read again until it gets a turn. A few get one in each
pass of the event loop, in the order in which they asked, so that a pass stays short however many
there are.
"""

import asyncio
from collections import deque

from uvicorn.protocols.http.flow_control import FlowControl

TURNS_PER_PASS = 8


class ReadingTurns:
    """Turns of the connections of a process.

    Attributes:
        waiting: Connections that wait for a turn, in order.
    """

    __slots__ = ("waiting",)

    def __init__(self) -> None:
        self.waiting: deque[PacedFlowControl] = deque()


class PacedFlowControl(FlowControl):
    """Flow control of a connection that is also paused while it waits for a turn.

    Attributes:
        waits_for_turn: Whether it waits for a turn.
    """

    __slots__ = ("waits_for_turn",)

    def __init__(self, *, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.waits_for_turn = False

    def pause_reading(self) -> None:
        """Stops reading until `resume_reading`."""
        if self.read_paused:
            return
        self.read_paused = True
        if not self.waits_for_turn:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Goes on reading, unless the connection waits for a turn."""
        if not self.read_paused:
            return
        self.read_paused = False
        if not self.waits_for_turn:
            self._transport.resume_reading()

    def begin_wait(self) -> None:
        """Stops reading until the connection gets a turn."""
        self.waits_for_turn = True
        if not self.read_paused:
            self._transport.pause_reading()

    def end_wait(self) -> None:
        """Goes on reading, unless that is paused."""
        self.waits_for_turn = False
        if not self.read_paused:
            self._transport.resume_reading()


def await_turn(turns: ReadingTurns, flow: PacedFlowControl) -> None:
    """Stops reading a connection until it gets a turn."""
    if flow.waits_for_turn:
        return
    flow.begin_wait()
    turns.waiting.append(flow)
    if len(turns.waiting) == 1:
        asyncio.get_running_loop().call_soon(_give_turns, turns)


def _give_turns(turns: ReadingTurns) -> None:
    for _ in range(min(TURNS_PER_PASS, len(turns.waiting))):
        turns.waiting.popleft().end_wait()
    if turns.waiting:
        asyncio.get_running_loop().call_soon(_give_turns, turns)
