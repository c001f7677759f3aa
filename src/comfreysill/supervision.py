"""Supervision of a process's tasks: one that ends early ends the process."""

import asyncio
from collections.abc import Iterable


async def await_stop(
    stop: asyncio.Event, tasks: Iterable[asyncio.Task], once: Iterable[asyncio.Task] = ()
) -> None:
    """Waits until the process is asked to stop.

    Args:
        stop: Set when the process is asked to stop.
        tasks: Tasks that run until they are cancelled.
        once: Tasks that may end, but not with an error.

    Raises:
        Exception: That of a task which ended before.
        RuntimeError: A task ended that should not.
    """
    waiting = asyncio.create_task(stop.wait())
    ending = set(once)
    open_tasks = {waiting, *tasks, *ending}
    while not waiting.done():
        done, open_tasks = await asyncio.wait(open_tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done - {waiting}:
            task.result()
            if task not in ending:
                waiting.cancel()
                raise RuntimeError("a task of the process ended")
