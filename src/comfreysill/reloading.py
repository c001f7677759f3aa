"""Reloads the settings file while a process runs."""

import asyncio
import logging
from collections.abc import Callable

from comfreysill.exceptions import ComfreysillError
from comfreysill.platform.settings import InstanceSettings, read_instance_settings

logger = logging.getLogger(__name__)

# The file is also reread periodically, as it may change without a signal.
RELOAD_INTERVAL_SECONDS = 5.0


async def watch_settings(reload: asyncio.Event, apply: Callable[[InstanceSettings], None]) -> None:
    """Reads the settings after each SIGHUP and periodically; invalid settings are ignored.

    Args:
        reload: Set by the handler of SIGHUP.
        apply: Called with the settings after each successful read, also if they are unchanged.
    """
    while True:
        signalled = True
        try:
            async with asyncio.timeout(RELOAD_INTERVAL_SECONDS):
                await reload.wait()
        except TimeoutError:
            signalled = False
        reload.clear()
        try:
            settings = read_instance_settings()
        except ComfreysillError as error:
            fields = {"why": str(error)}
            logger.error(
                "invalid settings ignored; the previous settings stay in force",
                extra={"fields": fields},
            )
            continue
        if signalled:
            logger.info("settings reloaded", extra={"fields": {"store": str(settings.store)}})
        apply(settings)
