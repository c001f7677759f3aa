"""Asyncio task of an agent that keeps the crashes of its runner in the store.

The rows outlive the agent and all entries, so that a request that is sent again after any loss of
processes is still known to crash runners. Each row is removed after a time.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from result import Err, Ok, Result

from comfreysill.clock import read_boot_clock
from comfreysill.crashes.report import CRASH_RETENTION_SECONDS, CrashReport
from comfreysill.mailbox import Mailbox
from comfreysill.platform.crashes import list_crash_ids, remove_crash, write_crash
from comfreysill.platform.store import StoreClient, StoreError

logger = logging.getLogger(__name__)

INITIAL_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 2.0


async def keep_crash_records(store: StoreClient, reports: Mailbox[CrashReport], agent: str) -> None:
    """Writes the reported crashes to the store, and removes them later, until it is cancelled."""
    async with asyncio.TaskGroup() as group:
        group.create_task(_remove_earlier_records(store, agent))
        while True:
            for report in await reports.get_batch():
                group.create_task(_keep_record(store, report))


async def _keep_record(store: StoreClient, report: CrashReport) -> None:
    expires_at = read_boot_clock() + CRASH_RETENTION_SECONDS
    await _retry("writing a crash", lambda: write_crash(store, report), expires_at)
    await asyncio.sleep(expires_at - read_boot_clock())
    await _remove_record(store, report.crash_id)


async def _remove_earlier_records(store: StoreClient, agent: str) -> None:
    """Removes the rows of this agent's earlier lifetimes once they are old enough."""
    expires_at = read_boot_clock() + CRASH_RETENTION_SECONDS
    listed = await _retry("listing crashes", lambda: list_crash_ids(store, agent), expires_at)
    await asyncio.sleep(expires_at - read_boot_clock())
    for crash_id in listed or ():
        await _remove_record(store, crash_id)


async def _remove_record(store: StoreClient, crash_id: str) -> None:
    gives_up_at = read_boot_clock() + CRASH_RETENTION_SECONDS
    await _retry("removing a crash", lambda: remove_crash(store, crash_id), gives_up_at)


async def _retry(
    action: str, call: Callable[[], Awaitable[Result[Any, StoreError]]], gives_up_at: float
) -> Any:
    """Repeats a call with exponential backoff; returns its result, None after `gives_up_at`."""
    delay = INITIAL_RETRY_SECONDS
    while read_boot_clock() < gives_up_at:
        answer = await call()
        if isinstance(answer, Ok):
            return answer.ok_value
        _log_failure(action, answer, delay)
        await asyncio.sleep(delay)
        delay = min(delay * 2, MAX_RETRY_SECONDS)
    return None


def _log_failure(action: str, answer: Err[StoreError], delay: float) -> None:
    fields = {"action": action, "why": answer.err_value.detail, "retry_seconds": delay}
    logger.warning("crash record failed; retrying", extra={"fields": fields})
