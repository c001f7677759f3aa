"""Supervision of a process's tasks: one that ends early ends the process."""

import asyncio
from collections.abc import Iterable


async def await_stop(stop: asyncio.Event, tasks: Iterable[asyncio.Task]) -> None:
    """Waits until the process is asked to stop.

    Raises:
        Exception: That of a task which ended before.
        RuntimeError: A task ended without an error.
    """
    waiting = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait([waiting, *tasks], return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    for task in done:
        if task is waiting:
            continue
        task.result()
        raise RuntimeError("a task of the process ended")
