"""Follows the settings file while a process runs."""

import asyncio
import logging
from collections.abc import Callable

from comfreysill.exceptions import ComfreysillError
from comfreysill.platform.settings import InstanceSettings, read_instance_settings

logger = logging.getLogger(__name__)

# The file may change without a signal.
CHECK_SECONDS = 5.0


async def watch_settings(reload: asyncio.Event, apply: Callable[[InstanceSettings], None]) -> None:
    """Reads the settings after each signal and now and then; bad ones change nothing.

    Args:
        reload: Set by the signal.
        apply: Takes settings that could be read.
    """
    while True:
        signalled = True
        try:
            async with asyncio.timeout(CHECK_SECONDS):
                await reload.wait()
        except TimeoutError:
            signalled = False
        reload.clear()
        try:
            settings = read_instance_settings()
        except ComfreysillError as error:
            fields = {"why": str(error)}
            logger.error("settings not taken; the old ones stay", extra={"fields": fields})
            continue
        if signalled:
            logger.info("settings reloaded", extra={"fields": {"store": str(settings.store)}})
        apply(settings)
