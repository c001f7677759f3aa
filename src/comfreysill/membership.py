"""Makes a process of the system known to the others."""

import asyncio
import logging

from result import Err

from comfreysill.platform.members import Member, write_member
from comfreysill.platform.store import StoreClient

logger = logging.getLogger(__name__)

RETRY_SECONDS = 0.5
RETRY_MOST_SECONDS = 4.0


async def register_member(store: StoreClient, member: Member) -> None:
    """Writes a member's row, again until the store has taken it."""
    pause = RETRY_SECONDS
    while isinstance(written := await write_member(store, member), Err):
        fields = {"why": written.err_value.detail, "retry_seconds": pause}
        logger.warning("not registered yet", extra={"fields": fields})
        await asyncio.sleep(pause)
        pause = min(pause * 2, RETRY_MOST_SECONDS)
    logger.info("registered", extra={"fields": {"name": member.name, "role": member.role}})
