"""Supervision of the asyncio tasks of a process: if one ends early, the process exits."""

import asyncio
from collections.abc import Iterable


async def await_stop(
    stop: asyncio.Event, tasks: Iterable[asyncio.Task], finite_tasks: Iterable[asyncio.Task] = ()
) -> None:
    """Waits for the stop event while supervising asyncio tasks.

    Args:
        stop: Set when the process shall stop.
        tasks: Tasks that run until they are cancelled.
        finite_tasks: Tasks that may end before the stop event, but not with an error.

    Raises:
        Exception: The exception of a task that failed.
        RuntimeError: A task in `tasks` ended before the stop event.
    """
    stop_waiter = asyncio.create_task(stop.wait())
    allowed_to_end = set(finite_tasks)
    running_tasks = {stop_waiter, *tasks, *allowed_to_end}
    while not stop_waiter.done():
        done, running_tasks = await asyncio.wait(running_tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done - {stop_waiter}:
            task.result()
            if task not in allowed_to_end:
                stop_waiter.cancel()
                raise RuntimeError("a task of the process ended unexpectedly")
